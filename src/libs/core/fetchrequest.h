#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "batchtracker.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Body of a fetch request of a trainer; fields as in fetch_received.
struct fetch_request {
    std::uint64_t fetch = 0;
    weight_version version;
    std::vector<slot_range> held;
    std::uint32_t max = 0;
    /// Longest time that the trainer waits for a first sample.
    duration wait {};
};

/// Longest time that a fetch may wait.
inline constexpr duration maxFetchWait = std::chrono::seconds(30);

/// Reads the body of a fetch request. On an error it returns none and sets \a detail to a sentence that names the error.
std::optional<fetch_request> parseFetchRequest(std::string_view body, std::string& detail);

/// JSON answer to a fetch.
std::string toJson(std::string_view batch, const deliver_samples& delivery);

/// JSON answer to a request for the progress of a batch.
std::string toJson(std::string_view batch, std::string_view ownerVm, const batch_progress& progress);

/// JSON answer to a request that opened or cancelled a batch. \a isRecorded tells whether the change is in the log.
std::string batchStateJson(std::string_view batch, std::string_view state, bool isRecorded);

}
