#include "batchindextable.h"

#include "jsonreader.h"

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::uint64_t recordSchema = 1;

    std::string_view nameOf(batch_state state)
    {
        switch (state) {
        case batch_state::Opened:
            return "opened";
        case batch_state::Cancelled:
            return "cancelled";
        case batch_state::Closed:
            return "closed";
        }
        return "";
    }

    std::optional<batch_state> parseState(std::string_view name)
    {
        for (const batch_state state : { batch_state::Opened, batch_state::Cancelled, batch_state::Closed }) {
            if (nameOf(state) == name)
                return state;
        }
        return std::nullopt;
    }

}

batch_index_record openingRecord(const batch_spec& spec)
{
    return { batch_state::Opened, spec.id, spec.entry, spec.trainer, spec.dataCentre, contentHash(spec) };
}

std::string toJson(const batch_index_record& record)
{
    json document { { "schema", recordSchema }, { "batch", record.batch }, { "state", nameOf(record.state) } };
    if (record.state == batch_state::Opened) {
        document["entry"] = record.entry;
        document["trainer"] = record.trainer;
        document["data_centre"] = record.dataCentre;
        document["hash"] = record.contentHash;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<batch_index_record> parseBatchIndexRecord(std::string_view text)
{
    const json document = parseJson(text);
    if (!document.is_object() || document.value("schema", json()) != recordSchema)
        return std::nullopt;
    const std::optional<batch_state> state = parseState(optionalText(document, "state"));
    batch_index_record record;
    record.batch = optionalText(document, "batch");
    if (!state || !isValidName(record.batch))
        return std::nullopt;
    record.state = *state;
    if (record.state != batch_state::Opened)
        return record;
    record.entry = optionalText(document, "entry");
    record.trainer = optionalText(document, "trainer");
    record.dataCentre = optionalText(document, "data_centre");
    record.contentHash = optionalText(document, "hash");
    const bool isComplete = isValidName(record.entry) && isValidName(record.trainer) && isValidName(record.contentHash);
    if (!isComplete || record.dataCentre.size() > maxNameBytes)
        return std::nullopt;
    return record;
}

batch_index_result batch_index_table::apply(std::string_view data)
{
    const std::optional<batch_index_record> record = parseBatchIndexRecord(data);
    if (!record) {
        ++m_ignored;
        return batch_index_result::Ignored;
    }
    switch (record->state) {
    case batch_state::Opened:
        return open(*record);
    case batch_state::Cancelled:
    case batch_state::Closed:
        return end(*record);
    }
    return batch_index_result::Ignored;
}

const batch_index_table::entry* batch_index_table::find(const std::string& batch) const
{
    const auto it = m_batches.find(batch);
    return it == m_batches.end() ? nullptr : &it->second;
}

batch_index_result batch_index_table::open(const batch_index_record& record)
{
    const entry* known = find(record.batch);
    if (known) {
        const bool isSame = known->opening.contentHash == record.contentHash;
        return isSame ? batch_index_result::Repeated : batch_index_result::Conflict;
    }
    if (m_open == maxOpenBatches)
        return batch_index_result::Full;
    m_batches.emplace(record.batch, entry { record, batch_state::Opened });
    ++m_open;
    return batch_index_result::Opened;
}

batch_index_result batch_index_table::end(const batch_index_record& record)
{
    const auto it = m_batches.find(record.batch);
    if (it == m_batches.end()) {
        ++m_ignored;
        return batch_index_result::Ignored;
    }
    if (it->second.state != batch_state::Opened)
        return batch_index_result::Repeated;
    it->second.state = record.state;
    --m_open;
    m_ended.push_back(record.batch);
    if (m_ended.size() > maxEndedBatches) {
        m_batches.erase(m_ended.front());
        m_ended.pop_front();
    }
    return record.state == batch_state::Closed ? batch_index_result::Closed : batch_index_result::Cancelled;
}

}
