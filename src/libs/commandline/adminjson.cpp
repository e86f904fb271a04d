#include "adminjson.h"

#include <nlohmann/json.hpp>

namespace ragwortreach::Internal {

using nlohmann::json;

namespace {

    /// Member "body" of \a container as JSON text; empty when it is missing or null.
    std::string bodyText(const json& container)
    {
        const auto it = container.find("body");
        return it == container.end() || it->is_null() ? std::string() : it->dump();
    }

    /// Packed time, which is sent as a decimal string because it exceeds the integers that JSON represents exactly.
    hybrid_time readTime(const json& value)
    {
        return { value.is_string() ? std::stoull(value.get<std::string>()) : value.get<std::uint64_t>() };
    }

    /// Weight version of a replica as "base.adapter"; empty when \a row names none.
    std::string weightsText(const json& row)
    {
        const auto it = row.find("weights");
        if (it == row.end() || it->is_null())
            return {};
        if (!it->is_object())
            return it->is_string() ? it->get<std::string>() : it->dump();
        return std::to_string(it->value("base", std::uint64_t(0))) + '.' + std::to_string(it->value("adapter", std::uint64_t(0)));
    }

    /// Array under \a key; empty when it is missing.
    json rows(const json& container, const char* key)
    {
        return container.value(key, json::array());
    }

    catalogue_history_item readHistoryItem(const json& row)
    {
        catalogue_history_item item;
        item.offset = row.at("offset");
        item.record = row.at("record");
        item.operatorName = row.value("operator", "");
        item.replaces = row.value("replaces", std::uint64_t(0));
        item.revision = row.value("revision", std::uint64_t(0));
        item.code = row.value("code", 0);
        item.detail = row.value("detail", "");
        item.body = bodyText(row);
        return item;
    }

    member_row readMember(const json& row)
    {
        member_row member;
        member.vm = row.at("vm");
        member.dataCentre = row.value("data_centre", "");
        member.state = row.value("state", "");
        member.incarnation = row.value("incarnation", std::uint64_t(0));
        member.cataloguePosition = row.value("catalogue_position", std::uint64_t(0));
        member.admin = row.value("admin", "");
        return member;
    }

    upstream_row readUpstream(const json& row)
    {
        upstream_row upstream;
        upstream.upstream = row.at("upstream");
        upstream.vm = row.value("vm", "");
        upstream.dataCentre = row.value("data_centre", "");
        upstream.state = row.value("state", "");
        upstream.inFlight = row.value("in_flight", std::uint64_t(0));
        upstream.weights = weightsText(row);
        return upstream;
    }

    event_row readEvent(const json& row, const std::string& vm)
    {
        event_row event;
        event.time = readTime(row.at("time"));
        event.vm = row.value("vm", vm);
        event.kind = row.at("kind");
        event.subject = row.value("subject", "");
        event.code = row.value("code", 0);
        event.detail = row.value("detail", "");
        return event;
    }

}

entry_row readItem(const json& row)
{
    return { row.at("entry"), row.at("revision"), bodyText(row), row.value("operator", "") };
}

catalogue_listing readListing(const json& document)
{
    catalogue_listing listing;
    listing.position = document.at("position");
    for (const json& row : document.at("entries"))
        listing.entries.push_back(readItem(row));
    return listing;
}

std::vector<catalogue_history_item> readHistory(const json& document)
{
    std::vector<catalogue_history_item> items;
    for (const json& row : document.at("edits"))
        items.push_back(readHistoryItem(row));
    return items;
}

submission_accepted readAccepted(const json& document)
{
    return { document.at("offset"), document.at("revision") };
}

submission_rejected readRejected(const json& document, const std::string& entry)
{
    submission_rejected rejected;
    rejected.code = document.value("code", 0);
    rejected.title = document.value("title", "");
    rejected.detail = document.value("detail", "");
    const auto it = document.find("current");
    if (it != document.end() && it->is_object())
        rejected.current = entry_row { entry, it->value("revision", std::uint64_t(0)), bodyText(*it), it->value("operator", "") };
    return rejected;
}

edit_confirmations readConfirmations(const json& document)
{
    edit_confirmations confirmations;
    confirmations.needed = document.at("needed");
    for (const json& row : document.at("vms"))
        confirmations.vms.push_back({ row.at("vm"), row.value("data_centre", ""), row.value("position", std::uint64_t(0)), row.at("confirmed") });
    return confirmations;
}

daemon_status readStatus(const json& document)
{
    daemon_status status;
    status.vm = document.at("vm");
    status.dataCentre = document.value("data_centre", "");
    status.incarnation = document.value("incarnation", std::uint64_t(0));
    status.isDraining = document.value("draining", false);
    status.cataloguePosition = document.value("catalogue_position", std::uint64_t(0));
    for (const json& row : rows(document, "members"))
        status.members.push_back(readMember(row));
    for (const json& row : rows(document, "upstreams"))
        status.upstreams.push_back(readUpstream(row));
    for (const json& row : rows(document, "batches"))
        status.batches.push_back({ row.at("batch"), row.value("owner_vm", ""), row.value("remaining", std::uint64_t(0)) });
    status.json = document.dump();
    return status;
}

std::vector<event_row> readTimeline(const json& document)
{
    const std::string vm = document.value("vm", "");
    std::vector<event_row> events;
    for (const json& row : document.at("events"))
        events.push_back(readEvent(row, vm));
    return events;
}

}
