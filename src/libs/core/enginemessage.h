#pragma once

#include "resultcode.h"
#include "weightversion.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach {

/// Stream of tokens asked of a model engine.
struct completion_request {
    std::string model;
    std::string prompt;
    std::string requestId;
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    /// Tokens generated so far, for a stream that goes on elsewhere.
    std::vector<std::uint32_t> resumeTokens;
};

/// Tokens of one chunk and all weight versions that took part in them.
struct completion_chunk {
    std::vector<std::uint32_t> tokens;
    std::string text;
    std::vector<weight_version> versions;
    bool isFinished = false;
};

/// What an engine reports of itself.
struct engine_state {
    weight_version weights;
    bool isLoading = false;
    std::uint64_t fencing = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Answer of an engine to an order.
struct order_answer {
    result_code code = result_code::Ok;
    /// Fencing number that the engine holds, when it refused an older one.
    std::uint64_t fencing = 0;
};

/// Sample whose reward is asked for.
struct score_request {
    std::string sampleId;
    std::string prompt;
    std::vector<std::uint32_t> tokens;
};

}
