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

/// Record of the stream of the batch, read when this process became its owner.
struct restored_record {
    std::string id;
    /// JSON text.
    std::string data;
};

/// Number of streams that the batch may keep open from now on. A smaller number suspends streams; their tokens are kept.
struct capacity_offered {
    std::uint32_t streams = 0;
};

/// Time has passed.
struct tick {
};

/// Tokens of a stream.
struct chunk_received {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    /// Position of the first token in the sample. The first new token of a resumed stream follows the tokens it was resumed with.
    std::uint32_t position = 0;
    std::vector<std::uint32_t> tokenIds;
    std::string text;
    std::vector<weight_version> versions;
    /// Whether the engine named a reason to finish.
    bool finished = false;
};

/// A stream ended before it finished. Its tokens up to \a tokensKept stay valid.
struct stream_failed {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::error_code error;
    std::uint32_t tokensKept = 0;
};

struct score_received {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    double reward = 0;
};

struct score_failed {
    std::uint32_t slot = 0;
    std::uint32_t attempt = 0;
    std::error_code error;
};

/// The append of this number is in the log.
struct append_acknowledged {
    std::uint64_t append = 0;
};

/// The append of this number failed or its reply was lost; the same records go out again.
struct append_failed {
    std::uint64_t append = 0;
    std::error_code error;
};

/// The trainer asks for samples. It names what it holds: these samples are never delivered again.
struct fetch_received {
    /// Connection that waits for the answer; handed back in the answer.
    std::uint64_t request = 0;
    /// Number that the trainer gave to the fetch; a repeated fetch keeps it.
    std::uint64_t fetch = 0;
    weight_version version;
    std::vector<slot_range> held;
    std::uint32_t max = 0;
    /// The trainer takes no answer after it.
    instant deadline;
};

/// The connection of a waiting fetch closed.
struct fetch_abandoned {
    std::uint64_t request = 0;
};

/// The weight store has this version of the model that the trainer trains.
struct version_published {
    weight_version version;
};

struct bound_changed {
    staleness_bound bound;
};

struct batch_cancelled {
};

using batch_event = std::variant<restored_record, capacity_offered, tick, chunk_received, stream_failed, score_received,
    score_failed, append_acknowledged, append_failed, fetch_received, fetch_abandoned, version_published, bound_changed,
    batch_cancelled>;

}
