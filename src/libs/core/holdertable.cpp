#include "holdertable.h"

#include "jsonreader.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    constexpr std::uint64_t knownSchema = 1;
    constexpr std::size_t maxRecordBytes = 4096;

    std::string keyOf(std::string_view dataCentre, std::string_view model)
    {
        std::string key(dataCentre);
        key += '\n';
        key += model;
        return key;
    }

}

std::optional<holder_record> parseHolderRecord(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return std::nullopt;
    try {
        const nlohmann::json json = parseJson(text);
        if (json.at("schema") != knownSchema)
            return std::nullopt;
        return holder_record { json.at("data_centre"), json.at("model"), { json.at("vm"), json.at("incarnation") } };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string toJson(const holder_record& record)
{
    const nlohmann::json json {
        { "schema", knownSchema },
        { "data_centre", record.dataCentre },
        { "model", record.model },
        { "vm", record.holder.vm },
        { "incarnation", record.holder.incarnation },
    };
    return json.dump();
}

void holder_table::apply(const log_record& record)
{
    if (record.offset < m_position)
        return;
    m_position = record.offset + 1;
    const std::optional<holder_record> parsed = parseHolderRecord(record.data);
    const std::string key = parsed ? keyOf(parsed->dataCentre, parsed->model) : std::string();
    if (!parsed || (m_holders.size() >= maxHolders && !m_holders.contains(key))) {
        ++m_skippedRecords;
        return;
    }
    m_holders[key] = { parsed->holder, record.offset, record.id };
}

void holder_table::skipTo(std::uint64_t offset)
{
    m_position = std::max(m_position, offset);
}

const holder_state* holder_table::holder(std::string_view dataCentre, std::string_view model) const
{
    const std::map<std::string, holder_state, std::less<>>::const_iterator it = m_holders.find(keyOf(dataCentre, model));
    return it == m_holders.end() ? nullptr : &it->second;
}

}
