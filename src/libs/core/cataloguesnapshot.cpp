#include "cataloguesnapshot.h"

#include "cataloguestatecodec.h"
#include "cataloguetable.h"
#include "jsonreader.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace ragwortreach {

namespace {

    constexpr std::uint64_t knownSchema = 1;
    constexpr int hexadecimal = 16;

    std::string toHex(std::uint64_t value)
    {
        std::string text(hexadecimal, '0');
        const std::to_chars_result result = std::to_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        text.resize(result.ptr - text.data());
        return text;
    }

    bool fromHex(const std::string& text, std::uint64_t& value)
    {
        const char* end = text.data() + text.size();
        const std::from_chars_result result = std::from_chars(text.data(), end, value, hexadecimal);
        return result.ec == std::errc() && result.ptr == end;
    }

    std::uint64_t hashOf(const std::string& state)
    {
        return XXH3_64bits(state.data(), state.size());
    }

    bool coversMore(const catalogue_snapshot& left, const catalogue_snapshot& right)
    {
        return left.covered > right.covered;
    }

}

catalogue_snapshot makeSnapshot(const catalogue_table& table)
{
    catalogue_snapshot snapshot { table.position(), 0, catalogue_state_codec::encode(table) };
    snapshot.hash = hashOf(snapshot.state);
    return snapshot;
}

std::string encodeSnapshot(const catalogue_snapshot& snapshot)
{
    const nlohmann::json json {
        { "schema", knownSchema },
        { "covered", snapshot.covered },
        { "hash", toHex(snapshot.hash) },
        { "state", nlohmann::json::parse(snapshot.state) },
    };
    return json.dump();
}

std::optional<catalogue_snapshot> decodeSnapshot(std::string_view text)
{
    const nlohmann::json json = parseJson(text);
    if (!json.is_object() || !json.contains("schema") || json.at("schema") != knownSchema)
        return std::nullopt;
    if (!json.contains("covered") || !json.at("covered").is_number_unsigned())
        return std::nullopt;
    if (!json.contains("hash") || !json.at("hash").is_string() || !json.contains("state"))
        return std::nullopt;
    catalogue_snapshot snapshot;
    snapshot.covered = json.at("covered");
    if (!fromHex(json.at("hash"), snapshot.hash))
        return std::nullopt;
    snapshot.state = json.at("state").dump();
    return snapshot;
}

restore_result restore(catalogue_table& table, const catalogue_snapshot& snapshot)
{
    if (snapshot.covered <= table.position())
        return restore_result::Outdated;
    if (hashOf(snapshot.state) != snapshot.hash)
        return restore_result::Corrupt;
    catalogue_table restored;
    if (!catalogue_state_codec::decode(snapshot.state, restored) || restored.position() != snapshot.covered)
        return restore_result::Corrupt;
    table = std::move(restored);
    return restore_result::Restored;
}

restore_result restoreBest(catalogue_table& table, std::span<const std::string> texts)
{
    std::vector<catalogue_snapshot> snapshots;
    for (const std::string& text : texts) {
        if (std::optional<catalogue_snapshot> snapshot = decodeSnapshot(text))
            snapshots.push_back(*std::move(snapshot));
    }
    std::stable_sort(snapshots.begin(), snapshots.end(), coversMore);
    restore_result result = restore_result::Outdated;
    for (const catalogue_snapshot& snapshot : snapshots) {
        result = restore(table, snapshot);
        if (result != restore_result::Corrupt)
            return result;
    }
    return result;
}

}
