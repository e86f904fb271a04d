#include "batchspec.h"

#include "jsonreader.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <optional>
#include <utility>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    /// Reads typed values from one JSON object and stores the first error.
    class spec_reader {
    public:
        explicit spec_reader(const json& object)
            : m_object(object)
        {
        }

        std::string name(const char* key, bool required)
        {
            const auto it = m_object.find(key);
            if (it == m_object.end() && !required)
                return {};
            if (it == m_object.end() || !it->is_string()) {
                fail(result_code::MalformedRequest, std::string("'") + key + "' must be a string.");
                return {};
            }
            std::string value = it->get<std::string>();
            if (!(value.empty() && !required) && !isValidName(value))
                fail(result_code::ValueOutOfRange, std::string("'") + key + "' must have 1 to 128 characters of A-Z a-z 0-9 . _ -.");
            return value;
        }

        std::uint64_t number(const char* key, std::uint64_t low, std::uint64_t high)
        {
            const auto it = m_object.find(key);
            if (it == m_object.end() || !it->is_number_unsigned()) {
                fail(result_code::MalformedRequest, std::string("'") + key + "' must be a whole number.");
                return low;
            }
            const std::uint64_t value = it->get<std::uint64_t>();
            if (value < low || value > high) {
                fail(result_code::ValueOutOfRange,
                    std::string("'") + key + "' must be from " + std::to_string(low) + " to " + std::to_string(high) + ".");
            }
            return value;
        }

        std::string prompt()
        {
            const auto it = m_object.find("prompt");
            if (it == m_object.end() || !it->is_string()) {
                fail(result_code::MalformedRequest, "'prompt' must be a string.");
                return {};
            }
            std::string value = it->get<std::string>();
            if (value.size() > maxPromptBytes)
                fail(result_code::ValueOutOfRange, "'prompt' must have at most " + std::to_string(maxPromptBytes) + " bytes.");
            return value;
        }

        void fail(result_code code, std::string detail)
        {
            if (!m_error)
                m_error = batch_spec_error { code, std::move(detail) };
        }

        const std::optional<batch_spec_error>& error() const { return m_error; }

    private:
        const json& m_object;
        std::optional<batch_spec_error> m_error;
    };

    std::optional<batch_spec_error> readGroups(const json& groups, batch_spec& spec)
    {
        if (!groups.is_array() || groups.empty() || groups.size() > maxBatchGroups) {
            return batch_spec_error { result_code::ValueOutOfRange,
                "'groups' must be an array of 1 to " + std::to_string(maxBatchGroups) + " groups." };
        }
        std::uint64_t slots = 0;
        std::size_t promptBytes = 0;
        for (const json& group : groups) {
            if (!group.is_object())
                return batch_spec_error { result_code::MalformedRequest, "Each of 'groups' must be an object." };
            spec_reader reader(group);
            batch_group read;
            read.prompt = reader.prompt();
            read.count = static_cast<std::uint32_t>(reader.number("count", 1, maxBatchSlots));
            if (reader.error())
                return reader.error();
            slots += read.count;
            promptBytes += read.prompt.size();
            spec.groups.push_back(std::move(read));
        }
        if (slots > maxBatchSlots) {
            return batch_spec_error { result_code::ValueOutOfRange,
                "The sum of all 'count' must be at most " + std::to_string(maxBatchSlots) + "." };
        }
        if (promptBytes > maxBatchPromptBytes) {
            return batch_spec_error { result_code::ValueOutOfRange,
                "All prompts together must have at most " + std::to_string(maxBatchPromptBytes) + " bytes." };
        }
        return std::nullopt;
    }

    /// Appends a field to the bytes that are hashed. Texts are preceded by their length, so that moving characters from
    /// one field to its neighbour changes the hash.
    void appendField(std::string& bytes, std::uint64_t value)
    {
        for (std::size_t byte = 0; byte < sizeof(value); ++byte)
            bytes.push_back(static_cast<char>((value >> (8 * byte)) & 0xff));
    }

    void appendField(std::string& bytes, std::string_view text)
    {
        appendField(bytes, std::uint64_t { text.size() });
        bytes.append(text);
    }

    std::string hexadecimalHash(std::string_view bytes)
    {
        const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
        std::array<char, 33> text {};
        std::snprintf(text.data(), text.size(), "%016llx%016llx",
            static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
        return text.data();
    }

}

std::uint32_t slotCount(const batch_spec& spec)
{
    std::uint32_t slots = 0;
    for (const batch_group& group : spec.groups)
        slots += group.count;
    return slots;
}

slot_place slotPlace(const batch_spec& spec, std::uint32_t slot)
{
    slot_place place { 0, slot };
    for (const batch_group& group : spec.groups) {
        if (place.index < group.count)
            return place;
        place.index -= group.count;
        ++place.group;
    }
    return place;
}

std::variant<batch_spec, batch_spec_error> parseBatchSpec(std::string_view text)
{
    const json document = parseJson(text);
    if (!document.is_object())
        return batch_spec_error { result_code::MalformedRequest, "The body must be a JSON object." };
    spec_reader reader(document);
    batch_spec spec;
    spec.id = reader.name("batch", true);
    spec.entry = reader.name("entry", true);
    spec.owner = reader.name("owner", false);
    spec.trainer = reader.name("trainer", true);
    spec.dataCentre = reader.name("data_centre", false);
    const std::uint64_t maxTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(maxBatchTimeout).count();
    spec.timeout = std::chrono::milliseconds(reader.number("due_ms", 1, maxTimeout));
    spec.maxTokens = static_cast<std::uint32_t>(reader.number("max_tokens", 1, maxSampleTokens));
    if (reader.error())
        return *reader.error();
    const std::optional<batch_spec_error> error = readGroups(document.value("groups", json()), spec);
    if (error)
        return *error;
    return spec;
}

std::string toJson(const batch_spec& spec)
{
    json document {
        { "batch", spec.id },
        { "entry", spec.entry },
        { "owner", spec.owner },
        { "trainer", spec.trainer },
        { "data_centre", spec.dataCentre },
        { "due_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spec.timeout).count() },
        { "max_tokens", spec.maxTokens },
        { "groups", json::array() },
    };
    for (const batch_group& group : spec.groups)
        document["groups"].push_back({ { "prompt", group.prompt }, { "count", group.count } });
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string contentHash(const batch_spec& spec)
{
    std::string bytes;
    for (const std::string* text : { &spec.id, &spec.entry, &spec.owner, &spec.trainer, &spec.dataCentre })
        appendField(bytes, std::string_view(*text));
    appendField(bytes, static_cast<std::uint64_t>(spec.timeout.count()));
    appendField(bytes, std::uint64_t { spec.maxTokens });
    appendField(bytes, std::uint64_t { spec.groups.size() });
    for (const batch_group& group : spec.groups) {
        appendField(bytes, std::string_view(group.prompt));
        appendField(bytes, std::uint64_t { group.count });
    }
    return hexadecimalHash(bytes);
}

bool isValidName(std::string_view name)
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !name.empty() && name.size() <= maxNameBytes && name.find_first_not_of(allowed) == std::string_view::npos;
}

}
