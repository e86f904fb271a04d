#pragma once

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach {

/// How the requests of a route may be run.
enum class route_kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by server-sent events; runs at most once unless the route is resumable.
    Streaming,
    /// Batches whose items run after the submission was answered.
    Rollout,
};

/// Service that gets a share of the requests of a route, in proportion to \a weight.
struct route_target {
    std::string service;
    std::uint32_t weight = 1;
};

/// Rules for the requests to one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    route_kind kind = route_kind::Idempotent;
    /// Longest time that a caller waits for its answer.
    duration timeout {};
    /// Latency objective: time within which an answer has its full value to the caller.
    duration objective {};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<route_target> targets;
    /// Maximum number of replicas that one request is sent to.
    std::uint32_t maxAttempts = 1;
    /// Time after the submission of a batch from which its unfinished items may be abandoned.
    duration retention {};
    /// Time after the submission of a batch by which its results should be complete.
    duration resultDeadline {};
    /// Whether all text of a result has to come from a single version of the weights.
    bool isSingleVersion = false;
    /// Whether an interrupted stream can be resumed after its last event.
    bool isResumable = false;
    /// Whether requests need no key of an organisation.
    bool isPublic = false;
};

/// Organisation whose requests are recognised by their keys.
struct organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Priority of its requests, which goes before that of the route; empty when the route decides.
    std::optional<std::uint32_t> priority;
};

/// Capacity of each model engine of a service, and the models that it serves.
struct engine_bounds {
    std::uint32_t slots = 1;
    /// Capacity of the key-value cache in tokens.
    std::uint64_t kvCacheTokens = 0;
    std::vector<std::string> models;
};

/// How many replicas of a service may be ordered, and what they cost.
struct scaling_bounds {
    /// Bounds for the replicas of one data centre, of both kinds together.
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 0;
    /// Time from an order until a new replica serves.
    duration startTime {};
    /// Price of a spot replica as a part of that of a regular one.
    double spotPrice = 1;
    /// Price of a regular replica for each second, by data centre.
    std::map<std::string, double, std::less<>> dataCentrePrices;
};

/// Upstream service.
struct service_definition {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    /// Set for services of model engines only.
    std::optional<engine_bounds> engine;
    /// Set for services whose number of replicas is ordered by the daemons.
    std::optional<scaling_bounds> scaling;
};

/// Limits for the size of callers' requests and for the time that they take to send them.
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
    /// Organisations whose keys requests need; empty when requests need no key.
    std::optional<std::vector<organisation>> organisations;
};

}
