#include "catalogueentry.h"

#include "catalogueschema.h"
#include "jsonreader.h"
#include "resultcode.h"
#include "schemacheck.h"

namespace ragwortreach {

namespace {

    constexpr std::size_t maxNameLength = 64;

    duration milliseconds(const nlohmann::json& value)
    {
        return std::chrono::milliseconds(value.get<std::int64_t>());
    }

    std::int64_t toMilliseconds(duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

    void readLimits(const nlohmann::json& json, entry_limits& limits)
    {
        limits.requestsPerSecond = json.value("requests_per_second", limits.requestsPerSecond);
        limits.inFlight = json.value("in_flight", limits.inFlight);
        limits.queue = json.value("queue", limits.queue);
    }

    staleness_bound readStaleness(const nlohmann::json& json)
    {
        staleness_bound bound;
        bound.versions = json.at("versions");
        if (json.contains("age_ms"))
            bound.age = milliseconds(json.at("age_ms"));
        return bound;
    }

    nlohmann::json stalenessToJson(const staleness_bound& bound)
    {
        nlohmann::json json { { "versions", bound.versions } };
        if (bound.age)
            json["age_ms"] = toMilliseconds(*bound.age);
        return json;
    }

    catalogue_entry readEntry(const nlohmann::json& json)
    {
        catalogue_entry entry;
        entry.owner = json.at("owner");
        entry.entryClass = json.at("class") == "training" ? entry_class::Training : entry_class::Customer;
        entry.kind = json.at("kind") == "model" ? entry_kind::Model : entry_kind::Service;
        entry.upstream = json.at("upstream");
        entry.scorer = json.value("scorer", entry.scorer);
        entry.idempotent = json.value("idempotent", entry.idempotent);
        if (json.contains("due_ms"))
            entry.timeout = milliseconds(json.at("due_ms"));
        if (json.contains("limits"))
            readLimits(json.at("limits"), entry.limits);
        if (json.contains("staleness"))
            entry.staleness = readStaleness(json.at("staleness"));
        entry.lookAhead = json.value("look_ahead", "fresh") == "busy" ? look_ahead::Busy : look_ahead::Fresh;
        entry.logOutage = json.value("log_outage", "refuse") == "run_once" ? log_outage::RunOnce : log_outage::Refuse;
        return entry;
    }

    std::string checkTraining(const nlohmann::json& json)
    {
        if (json.at("class") != "training")
            return {};
        if (json.at("kind") != "model")
            return "kind is \"service\", expected \"model\" because class is \"training\"";
        if (!json.contains("staleness"))
            return "staleness is missing, expected an object with the key versions because class is \"training\"";
        return {};
    }

}

std::error_code parseEntry(std::string_view text, catalogue_entry& entry, std::string& detail)
{
    static const schema_check check(catalogueSchema());
    detail = check.firstError(text);
    if (!detail.empty())
        return result_code::EditInvalid;
    const nlohmann::json json = parseJson(text);
    if (json.is_discarded()) {
        detail = "the body is not JSON in UTF-8, expected an object";
        return result_code::EditInvalid;
    }
    detail = checkTraining(json);
    if (!detail.empty())
        return result_code::EditInvalid;
    entry = readEntry(json);
    return {};
}

std::string toJson(const catalogue_entry& entry)
{
    const nlohmann::json json {
        { "owner", entry.owner },
        { "class", entry.entryClass == entry_class::Training ? "training" : "customer" },
        { "kind", entry.kind == entry_kind::Model ? "model" : "service" },
        { "upstream", entry.upstream },
        { "scorer", entry.scorer },
        { "due_ms", toMilliseconds(entry.timeout) },
        { "idempotent", entry.idempotent },
        { "limits", { { "requests_per_second", entry.limits.requestsPerSecond }, { "in_flight", entry.limits.inFlight }, { "queue", entry.limits.queue } } },
        { "staleness", stalenessToJson(entry.staleness) },
        { "look_ahead", entry.lookAhead == look_ahead::Busy ? "busy" : "fresh" },
        { "log_outage", entry.logOutage == log_outage::RunOnce ? "run_once" : "refuse" },
    };
    return json.dump();
}

bool isEntryName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() && name.size() <= maxNameLength && name.find_first_not_of(allowed) == std::string_view::npos;
}

}
