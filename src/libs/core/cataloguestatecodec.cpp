#include "cataloguestatecodec.h"

#include "cataloguetable.h"
#include "jsonreader.h"

#include <stdexcept>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    enum class detail_level {
        Canonical,
        Complete,
    };

    json bodyToJson(const catalogue_entry& body)
    {
        return json::parse(toJson(body));
    }

    catalogue_entry bodyFromJson(const json& source)
    {
        catalogue_entry body;
        std::string detail;
        if (parseEntry(source.dump(), body, detail))
            throw std::invalid_argument(detail);
        return body;
    }

    json entryStateToJson(const catalogue_entry_state& entryState)
    {
        json target {
            { "entry", entryState.name },
            { "revision", entryState.revision },
            { "operator", entryState.operatorName },
            { "offset", entryState.offset },
            { "record", entryState.recordId },
        };
        if (!entryState.isDeleted)
            target["body"] = bodyToJson(entryState.body);
        return target;
    }

    catalogue_entry_state entryStateFromJson(const json& source)
    {
        catalogue_entry_state entryState;
        entryState.name = source.at("entry");
        entryState.revision = source.at("revision");
        entryState.operatorName = source.at("operator");
        entryState.offset = source.at("offset");
        entryState.recordId = source.at("record");
        entryState.isDeleted = !source.contains("body");
        if (!entryState.isDeleted)
            entryState.body = bodyFromJson(source.at("body"));
        return entryState;
    }

    json historyToJson(const edit_history_item& edit)
    {
        json target {
            { "offset", edit.offset },
            { "record", edit.recordId },
            { "operator", edit.operatorName },
            { "replaces", edit.replaces },
            { "revision", edit.revision },
            { "code", static_cast<int>(edit.code) },
            { "detail", edit.detail },
        };
        if (edit.body)
            target["body"] = bodyToJson(*edit.body);
        return target;
    }

    edit_history_item historyFromJson(const json& source)
    {
        edit_history_item edit;
        edit.offset = source.at("offset");
        edit.recordId = source.at("record");
        edit.operatorName = source.at("operator");
        edit.replaces = source.at("replaces");
        edit.revision = source.at("revision");
        edit.code = static_cast<result_code>(source.at("code").get<int>());
        edit.detail = source.at("detail");
        if (source.contains("body"))
            edit.body = bodyFromJson(source.at("body"));
        return edit;
    }

    json verdictToJson(const edit_verdict& verdict, detail_level level)
    {
        json target {
            { "offset", verdict.offset },
            { "record", verdict.recordId },
            { "code", static_cast<int>(verdict.code) },
            { "entry", verdict.entry },
            { "revision", verdict.revision },
        };
        if (level == detail_level::Complete)
            target["detail"] = verdict.detail;
        return target;
    }

    edit_outcome outcomeOf(result_code code)
    {
        if (code == result_code::Ok)
            return edit_outcome::Accepted;
        return code == result_code::EditConflict ? edit_outcome::Conflict : edit_outcome::Skipped;
    }

    edit_verdict verdictFromJson(const json& source)
    {
        edit_verdict verdict;
        verdict.offset = source.at("offset");
        verdict.recordId = source.at("record");
        verdict.code = static_cast<result_code>(source.at("code").get<int>());
        verdict.outcome = outcomeOf(verdict.code);
        verdict.entry = source.at("entry");
        verdict.revision = source.at("revision");
        verdict.detail = source.at("detail");
        return verdict;
    }

}

/// Encoding and decoding of the private members of a table.
struct catalogue_state_codec::parts {
    static json encode(const catalogue_table& table, detail_level level)
    {
        json entries = json::array();
        for (const catalogue_table::slot_map::value_type& value : table.m_slots) {
            json entry = entryStateToJson(value.second.entryState);
            if (level == detail_level::Complete) {
                for (const edit_history_item& edit : value.second.history)
                    entry["history"].push_back(historyToJson(edit));
            }
            entries.push_back(std::move(entry));
        }
        json verdicts = json::array();
        for (const edit_verdict& verdict : table.m_verdicts)
            verdicts.push_back(verdictToJson(verdict, level));
        json state {
            { "position", table.m_position },
            { "revision_floor", table.m_revisionFloor },
            { "skipped", table.m_skippedRecords },
            { "entries", std::move(entries) },
            { "verdicts", std::move(verdicts) },
        };
        if (level == detail_level::Complete)
            state["gaps"] = table.m_gaps;
        return state;
    }

    static catalogue_table decode(const json& state)
    {
        catalogue_table table;
        table.m_position = state.at("position");
        table.m_revisionFloor = state.at("revision_floor");
        table.m_skippedRecords = state.at("skipped");
        table.m_gaps = state.at("gaps");
        for (const json& source : state.at("entries")) {
            catalogue_table::slot slot;
            slot.entryState = entryStateFromJson(source);
            for (const json& edit : source.value("history", json::array()))
                slot.history.push_back(historyFromJson(edit));
            table.m_slots.emplace(slot.entryState.name, slot);
        }
        for (const json& verdict : state.at("verdicts"))
            table.remember(verdictFromJson(verdict));
        return table;
    }
};

std::string catalogue_state_codec::encode(const catalogue_table& table)
{
    return parts::encode(table, detail_level::Complete).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string catalogue_state_codec::canonical(const catalogue_table& table)
{
    return parts::encode(table, detail_level::Canonical).dump(-1, ' ', false, json::error_handler_t::replace);
}

bool catalogue_state_codec::decode(std::string_view text, catalogue_table& table)
{
    try {
        table = parts::decode(parseJson(text));
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

}
