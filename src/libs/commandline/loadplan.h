#pragma once

#include <core/catalogueentry.h>
#include <net/endpoint.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Customers of one entry, who arrive at a mean rate independently of the answers.
struct customer_plan {
    std::string entry;
    entry_kind kind = entry_kind::Service;
    double requestsPerSecond = 0;
    std::string owner;
    /// Time from the arrival of a request to its deadline, sent as X-Due-Ms.
    std::chrono::milliseconds timeout { 2000 };
    std::uint32_t maxTokens = 32;
};

/// One trainer: it opens a batch, fetches until the batch is complete, trains and publishes the next weights.
struct trainer_plan {
    std::string entry;
    std::string name;
    std::string owner;
    /// Model whose versions the trainer publishes.
    std::string model;
    /// Number of batches; 0 for as many as fit into the arrival period.
    std::uint32_t batches = 0;
    std::uint32_t groups = 8;
    std::uint32_t samplesPerGroup = 4;
    std::uint32_t maxTokens = 64;
    /// Time from opening a batch to its deadline.
    std::chrono::milliseconds timeout { 60000 };
    /// Simulated time of a training step.
    std::chrono::milliseconds trainingTime { 1000 };
};

/// Load to generate, and the addresses to send it to.
struct load_plan {
    /// Callers' ports of the daemons, used round robin.
    std::vector<endpoint> callerEndpoints;
    /// Weight store where trainers publish versions; without it no versions are published.
    std::optional<endpoint> weightStore;
    std::vector<customer_plan> customers;
    std::vector<trainer_plan> trainers;
    /// Time during which customers arrive and trainers open batches.
    std::chrono::milliseconds arrivalPeriod { 10000 };
    /// Additional time for the answers of requests in flight.
    std::chrono::milliseconds grace { 10000 };
    /// Seed of the arrivals.
    std::uint64_t seed = 1;
    /// Prefix of all idempotency keys and batch ids, different for each run.
    std::string runId;
};

/// Reads "ENTRY:KIND:RATE:OWNER,..." with KIND model or service. Returns an empty text, or what was expected
/// when \a text is invalid.
std::string parseCustomers(std::string_view text, std::vector<customer_plan>& customers);

/// Reads "ENTRY:NAME:OWNER:MODEL,...". Returns an empty text, or what was expected
/// when \a text is invalid.
std::string parseTrainers(std::string_view text, std::vector<trainer_plan>& trainers);

/// Reads "ip:port,...". Returns an empty text, or what was expected
/// when \a text is invalid.
std::string parseEndpoints(std::string_view text, std::vector<endpoint>& endpoints);

}
