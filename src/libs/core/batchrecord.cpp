#include "batchrecord.h"

#include "jsonreader.h"

#include <string>
#include <utility>
#include <variant>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t recordSchema = 1;
    constexpr std::uint64_t maxStartedAfterOpeningMilliseconds = 366ULL * 24 * 3600 * 1000;

    bool hasKey(const json& document, const char* key)
    {
        return document.is_object() && document.contains(key) && document[key].is_object()
            && document.value("schema", json()) == recordSchema;
    }

}

batch_record specRecord(const batch_spec& spec)
{
    const json document { { "schema", recordSchema }, { "spec", json::parse(toJson(spec)) } };
    return { "spec", document.dump() };
}

batch_record sampleRecord(const recorded_sample& recorded)
{
    const json document {
        { "schema", recordSchema },
        { "sample", json::parse(toJson(recorded.sample)) },
        { "started_after_opening_ms", std::chrono::floor<std::chrono::milliseconds>(recorded.startedAfterOpening).count() },
    };
    const std::string id = "sample/" + std::to_string(recorded.sample.slot) + '/' + std::to_string(recorded.sample.attempt);
    return { id, document.dump() };
}

std::optional<batch_spec> parseSpecRecord(const restored_record& record)
{
    const json document = parseJson(record.data);
    if (!hasKey(document, "spec"))
        return std::nullopt;
    const std::variant<batch_spec, batch_spec_error> spec = parseBatchSpec(document["spec"].dump());
    if (!std::holds_alternative<batch_spec>(spec))
        return std::nullopt;
    return std::get<batch_spec>(spec);
}

std::optional<recorded_sample> parseSampleRecord(const restored_record& record)
{
    const json document = parseJson(record.data);
    if (!hasKey(document, "sample"))
        return std::nullopt;
    std::optional<batch_sample> sample = parseSample(document["sample"].dump());
    if (!sample)
        return std::nullopt;
    const json started = document.value("started_after_opening_ms", json());
    if (!started.is_number_unsigned() || started.get<std::uint64_t>() > maxStartedAfterOpeningMilliseconds)
        return std::nullopt;
    return recorded_sample { std::move(*sample), std::chrono::milliseconds(started.get<std::uint64_t>()) };
}

}
