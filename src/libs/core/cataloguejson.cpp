#include "cataloguejson.h"

#include "cataloguetable.h"

#include <nlohmann/json.hpp>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    json entryStateJson(const catalogue_entry_state& entryState)
    {
        return { { "entry", entryState.name }, { "revision", entryState.revision }, { "operator", entryState.operatorName },
            { "body", json::parse(toJson(entryState.body)) } };
    }

    json editJson(const edit_history_item& edit)
    {
        json document { { "offset", edit.offset }, { "record", edit.recordId }, { "operator", edit.operatorName },
            { "replaces", edit.replaces }, { "revision", edit.revision }, { "code", static_cast<int>(edit.code) },
            { "detail", edit.detail }, { "body", nullptr } };
        if (edit.body)
            document["body"] = json::parse(toJson(*edit.body));
        return document;
    }

    json problemJson(const edit_verdict& verdict)
    {
        const result_code_info& info = resultCodeInfo(verdict.code);
        json document { { "type", "about:blank" }, { "title", info.name }, { "status", info.httpStatus },
            { "detail", verdict.detail }, { "code", static_cast<int>(verdict.code) }, { "run", toString(info.run) },
            { "request", verdict.recordId }, { "accepted", false }, { "offset", verdict.offset } };
        if (verdict.current)
            document["current"] = entryStateJson(*verdict.current);
        return document;
    }

}

std::string verdictJson(const edit_verdict& verdict)
{
    if (verdict.outcome != edit_outcome::Accepted)
        return problemJson(verdict).dump();
    return json { { "accepted", true }, { "offset", verdict.offset }, { "revision", verdict.revision } }.dump();
}

std::string catalogueJson(const catalogue_table& table)
{
    json entries = json::array();
    const std::vector<catalogue_entry_state> entryStates = table.entries();
    for (const catalogue_entry_state& entryState : entryStates)
        entries.push_back(entryStateJson(entryState));
    return json { { "position", table.position() }, { "entries", std::move(entries) } }.dump();
}

std::string entryJson(const catalogue_table& table, std::string_view name)
{
    const catalogue_entry_state* const entryState = table.entryState(name);
    if (!entryState || entryState->isDeleted)
        return {};
    return entryStateJson(*entryState).dump();
}

std::string historyJson(const catalogue_table& table, std::string_view name)
{
    json edits = json::array();
    const std::vector<edit_history_item> history = table.history(name);
    for (const edit_history_item& edit : history)
        edits.push_back(editJson(edit));
    return json { { "entry", name }, { "revision", table.revision(name) }, { "edits", std::move(edits) } }.dump();
}

}
