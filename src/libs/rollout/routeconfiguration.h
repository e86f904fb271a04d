#pragma once

#include <core/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach {

/// What may be done with the requests of a route.
enum class route_kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by server-sent events; runs at most once unless the route is resumable.
    Streaming,
    /// Batches of items that run later.
    Rollout,
};

/// Service that gets a share of the requests of a route.
struct route_target {
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests of one host below one path prefix, and how they are served.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::Idempotent;
    /// Longest time that a caller is kept waiting.
    duration timeout {};
    /// Time within which an answer has its full value.
    duration objective {};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<route_target> targets;
    /// Replicas that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    /// Time after the submission of a batch at which its items may be given up.
    duration retention {};
    /// Time after the submission of a batch at which its results are due.
    duration resultDue {};
    /// Whether a result may have one weight version only.
    bool isSingleVersion = false;
    bool isResumable = false;
};

/// Bounds of the engines of a service.
struct engine_bounds {
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    std::vector<std::string> models;
};

/// Upstream service.
struct service_definition {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    /// Present for services of model engines.
    std::optional<engine_bounds> engine;
};

/// Bounds on what callers may send, and how long they may take.
struct caller_bounds {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8388608;
    duration headerTimeout = std::chrono::seconds(5);
    duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration.
struct route_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_bounds callers;
};

}
