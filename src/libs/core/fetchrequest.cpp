#include "fetchrequest.h"

#include "jsonreader.h"

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
            const slot_range range { wholeNumber<std::uint32_t>(it->at(0)), wholeNumber<std::uint32_t>(it->at(1)) };
            if (range.last < range.first)
                throw json::other_error::create(501, "a range in 'held' has its last slot before its first", nullptr);
            ranges.push_back(range);
        }
        return ranges;
    }

    fetch_request parseBody(const json& body)
    {
        fetch_request request;
        request.fetch = wholeNumber<std::uint64_t>(body.at("fetch"));
        request.version.base = wholeNumber<std::uint64_t>(body.at("version").at("base"));
        request.version.adapter = wholeNumber<std::uint64_t>(body.at("version").at("adapter"));
        if (body.contains("held"))
            request.held = parseRanges(body.at("held"));
        request.max = std::clamp(wholeNumberAt(body, "max", defaultSamplesPerFetch), 1U, maxSamplesPerFetch);
        constexpr double maxWaitMs = 1000000;
        const std::chrono::duration<double, std::milli> wait(std::clamp(body.value("wait_ms", 0.0), 0.0, maxWaitMs));
        request.wait = std::min(std::chrono::duration_cast<duration>(wait), maxFetchWait);
        return request;
    }

}

std::optional<fetch_request> parseFetchRequest(std::string_view body, std::string& detail)
{
    try {
        fetch_request request = parseBody(parseJson(body));
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
