#include "fetchrequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t defaultSamplesPerFetch = 64;
    constexpr std::size_t maxHeldRanges = maxBatchSlots;

    std::vector<slot_range> parseRanges(const json& list)
    {
        std::vector<slot_range> ranges;
        for (auto it = list.begin(); it != list.end(); ++it) {
            const slot_range range { it->at(0).get<std::uint32_t>(), it->at(1).get<std::uint32_t>() };
            if (range.last < range.first)
                throw json::other_error::create(501, "a range in 'held' has its last slot before its first", nullptr);
            ranges.push_back(range);
        }
        return ranges;
    }

    fetch_request parseBody(const json& body)
    {
        fetch_request request;
        request.fetch = body.at("fetch").get<std::uint64_t>();
        request.version.base = body.at("version").at("base").get<std::uint64_t>();
        request.version.adapter = body.at("version").at("adapter").get<std::uint64_t>();
        if (body.contains("held"))
            request.held = parseRanges(body.at("held"));
        request.max = std::clamp(body.value("max", defaultSamplesPerFetch), 1U, maxSamplesPerFetch);
        const std::int64_t waitMs = body.value("wait_ms", std::int64_t { 0 });
        request.wait = std::clamp(duration(std::chrono::milliseconds(std::min<std::int64_t>(waitMs, 1000000))), duration::zero(), maxFetchWait);
        return request;
    }

}

std::optional<fetch_request> parseFetchRequest(std::string_view body, std::string& detail)
{
    try {
        fetch_request request = parseBody(json::parse(body));
        if (request.held.size() <= maxHeldRanges)
            return request;
        detail = "The list 'held' has more ranges than a batch may have slots; merge adjacent ranges.";
    } catch (const json::exception& error) {
        detail = std::string("The body of the fetch is malformed: ") + error.what() + ".";
    }
    return std::nullopt;
}

std::string toJson(std::string_view batch, const deliver_samples& delivery)
{
    std::string text = "{\"batch\":" + json(batch).dump() + ",\"fetch\":" + std::to_string(delivery.fetch) + ",\"samples\":[";
    for (auto it = delivery.samples.begin(); it != delivery.samples.end(); ++it) {
        if (it != delivery.samples.begin())
            text += ',';
        text += toJson(*it);
    }
    text += "],\"remaining\":" + std::to_string(delivery.remaining);
    text += delivery.complete ? ",\"complete\":true}" : ",\"complete\":false}";
    return text;
}

std::string toJson(std::string_view batch, std::string_view ownerVm, const batch_progress& progress)
{
    return json { { "batch", batch }, { "owner_vm", ownerVm }, { "slots", progress.slots }, { "held", progress.held },
        { "ready", progress.ready }, { "scoring", progress.scoring }, { "streams", progress.streams },
        { "stale_discards", progress.staleDiscards }, { "spoiled_discards", progress.invalidDiscards },
        { "hedges", progress.hedges } }
        .dump();
}

std::string batchStateJson(std::string_view batch, std::string_view state, bool isRecorded)
{
    return json { { "batch", batch }, { "state", state }, { "recorded", isRecorded } }.dump();
}

}
