#pragma once

#include "resultcode.h"
#include "weightversion.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach {

/// Request to a model engine for a stream of tokens.
struct completion_request {
    std::string model;
    std::string prompt;
    std::string requestId;
    /// Largest number of tokens to generate, not counting resumeTokens.
    std::uint32_t maxTokens = 0;
    std::uint64_t seed = 0;
    /// Tokens generated so far, when this stream resumes an interrupted one.
    std::vector<std::uint32_t> resumeTokens;
};

/// Tokens of one chunk of the stream and all weight versions that produced them.
struct completion_chunk {
    std::vector<std::uint32_t> tokens;
    std::string text;
    std::vector<weight_version> versions;
    /// Whether the engine sent a finish reason.
    bool isFinished = false;
};

/// State that an engine reports of itself.
struct engine_state {
    weight_version weights;
    bool isLoading = false;
    /// Fencing token of the latest weight load order.
    std::uint64_t fencing = 0;
    /// Calls that run and that wait at the engine.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Answer of an engine to a weight load order.
struct order_answer {
    result_code code = result_code::Ok;
    /// Fencing token that the engine knows, when it refused an order with an older one.
    std::uint64_t fencing = 0;
};

/// Request to a scorer for the reward of a sample.
struct score_request {
    std::string sampleId;
    std::string prompt;
    std::vector<std::uint32_t> tokens;
};

}
