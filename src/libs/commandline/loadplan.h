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

/// Customers of one entry: independent arrivals at a mean rate, whatever the answers do.
struct customer_plan {
    std::string entry;
    entry_kind kind = entry_kind::Service;
    double requestsPerSecond = 0;
    std::string owner;
    std::chrono::milliseconds due { 2000 };
    std::uint32_t maxTokens = 32;
};

/// One trainer: it opens a batch, fetches until the batch is complete, trains and publishes the next weights.
struct trainer_plan {
    std::string entry;
    std::string name;
    std::string owner;
    /// Model whose versions the trainer publishes.
    std::string model;
    /// Number of batches; 0 for as many as the time allows.
    std::uint32_t batches = 0;
    std::uint32_t groups = 8;
    std::uint32_t samplesPerGroup = 4;
    std::uint32_t maxTokens = 64;
    std::chrono::milliseconds due { 60000 };
    std::chrono::milliseconds training { 1000 };
};

/// What a load run plays, and against whom.
struct load_plan {
    /// Callers' ports; requests take them in turn.
    std::vector<endpoint> callers;
    /// Where trainers publish versions; without it the version stays as it is.
    std::optional<endpoint> weightStore;
    std::vector<customer_plan> customers;
    std::vector<trainer_plan> trainers;
    /// Time during which customers arrive and trainers open batches.
    std::chrono::milliseconds time { 10000 };
    /// Time after that for answers under way.
    std::chrono::milliseconds grace { 10000 };
    std::uint64_t seed = 1;
    /// Prefix of all keys and batch ids, different for each run.
    std::string run;
};

/// Reads "ENTRY:KIND:RATE:OWNER,..." with KIND model or service. Returns what was expected when \a text is wrong.
std::string parseCustomers(std::string_view text, std::vector<customer_plan>& customers);

/// Reads "ENTRY:NAME:OWNER:MODEL,...". Returns what was expected when \a text is wrong.
std::string parseTrainers(std::string_view text, std::vector<trainer_plan>& trainers);

/// Reads "ip:port,...". Returns what was expected when \a text is wrong.
std::string parseEndpoints(std::string_view text, std::vector<endpoint>& endpoints);

}
