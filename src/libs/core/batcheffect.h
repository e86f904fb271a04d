#pragma once

#include "batchsample.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Largest number of records in one append.
inline constexpr std::size_t maxRecordsPerAppend = 64;

/// Start a stream at a replica.
struct start_stream {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::string prompt;
    /// Tokens at hand; the engine goes on after them.
    std::vector<std::uint32_t> resumeTokenIds;
    /// Tokens that may still be generated.
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    /// Streams with the same key share a prompt and belong on one replica.
    std::uint64_t groupKey = 0;
    /// Whether another stream of the slot is still open, on a replica to stay away from.
    bool hedge = false;
};

struct cancel_stream {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
};

struct request_score {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::string prompt;
    std::vector<std::uint32_t> tokenIds;
};

/// Record for the stream of the batch.
struct batch_record {
    /// Unique in the stream, but for copies of the same record.
    std::string id;
    /// JSON text.
    std::string data;
};

/// Append these records to the stream of the batch. One append is under way at a time.
struct append_records {
    std::uint64_t append = 0;
    std::vector<batch_record> records;
};

/// Answer to a fetch.
struct deliver_samples {
    std::uint64_t request = 0;
    std::uint64_t fetch = 0;
    std::vector<batch_sample> samples;
    /// Samples that the trainer did not hold when it sent the fetch.
    std::uint32_t remaining = 0;
    bool complete = false;
};

/// Refuse a fetch, with BatchCancelled or QueueFull.
struct refuse_fetch {
    std::uint64_t request = 0;
    std::uint64_t fetch = 0;
    std::error_code error;
};

/// The trainer said that it holds all samples. Comes once.
struct batch_finished {
};

using batch_effect = std::variant<start_stream, cancel_stream, request_score, append_records, deliver_samples, refuse_fetch, batch_finished>;

}
