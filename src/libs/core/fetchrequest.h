#pragma once

#include "batcheffect.h"
#include "batchevent.h"
#include "batchtracker.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Body of a fetch.
struct fetch_request {
    std::uint64_t fetch = 0;
    weight_version version;
    std::vector<slot_range> held;
    std::uint32_t max = 0;
    /// Time the trainer waits for a first sample.
    duration wait {};
};

/// Longest time that a fetch may wait.
inline constexpr duration maxFetchWait = std::chrono::seconds(30);

/// Reads the body of a fetch; \a detail becomes a sentence that names what is wrong.
std::optional<fetch_request> parseFetchRequest(std::string_view body, std::string& detail);

/// Answer to a fetch.
std::string toJson(std::string_view batch, const deliver_samples& delivery);

/// Answer to a question about the progress of a batch.
std::string toJson(std::string_view batch, std::string_view ownerVm, const batch_progress& progress);

/// Answer to an opened or cancelled batch. \a isRecorded tells whether the log holds the change.
std::string batchStateJson(std::string_view batch, std::string_view state, bool isRecorded);

}
