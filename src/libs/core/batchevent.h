#pragma once

#include "batchsample.h"
#include "batchsettings.h"
#include "instant.h"
#include "weightversion.h"

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Record of the log stream of the batch, read when this process became the owner of the batch.
struct restored_record {
    std::string id;
    /// JSON text.
    std::string data;
};

/// Largest number of streams that the batch may have open from now on. If more are open the excess is suspended; the
/// tokens of suspended streams are kept.
struct capacity_offered {
    std::uint32_t streams = 0;
};

/// Time has passed.
struct tick {
};

/// Tokens that arrived on a stream.
struct chunk_received {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    /// Position of the first token in the sample. In a resumed stream positions count the tokens it was resumed with.
    std::uint32_t position = 0;
    std::vector<std::uint32_t> tokenIds;
    std::string text;
    std::vector<weight_version> versions;
    /// Whether the engine sent a finish reason, so that this is the last chunk.
    bool finished = false;
};

/// A stream ended before its last chunk.
struct stream_failed {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::error_code error;
    /// Number of tokens of the sample that stay valid.
    std::uint32_t tokensKept = 0;
};

/// The scorer returned the reward of a sample.
struct score_received {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    double reward = 0;
};

/// The scorer could not be reached or returned no reward; it is asked again after a back-off.
struct score_failed {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::error_code error;
};

/// The records of the append with this number are in the log.
struct append_acknowledged {
    std::uint64_t append = 0;
};

/// The append with this number failed or its reply was lost. Its records are appended again under the same ids.
struct append_failed {
    std::uint64_t append = 0;
    std::error_code error;
};

/// The trainer asks for samples and names those that it already holds, which are not delivered again.
struct fetch_received {
    /// Connection that waits for the answer; repeated in the answer.
    std::uint64_t request = 0;
    /// Number that the trainer gave to the fetch; a repeated fetch keeps it.
    std::uint64_t fetch = 0;
    /// Weight version that the trainer is training.
    weight_version version;
    /// Samples that the trainer holds.
    std::vector<slot_range> held;
    /// Largest number of samples in the answer.
    std::uint32_t max = 0;
    /// Time at which the fetch is answered even without samples; the trainer accepts no answer after it.
    instant deadline;
};

/// The connection of a waiting fetch closed.
struct fetch_abandoned {
    std::uint64_t request = 0;
};

/// The weight store has a new version of the model that the trainer trains.
struct version_published {
    weight_version version;
};

/// The catalogue entry of the batch has a new bound on staleness.
struct bound_changed {
    staleness_bound bound;
};

/// The trainer cancelled the batch.
struct batch_cancelled {
};

using batch_event = std::variant<restored_record, capacity_offered, tick, chunk_received, stream_failed, score_received,
    score_failed, append_acknowledged, append_failed, fetch_received, fetch_abandoned, version_published, bound_changed,
    batch_cancelled>;

}
