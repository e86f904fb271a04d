#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

namespace review {

/// Result of an item, as a daemon lists it.
struct listed_result {
    std::string item;
    std::string state;
    std::string output;
};

/// Body of a batch job with \a groups groups of \a size items.
nlohmann::json batchJob(const std::string& id, const std::string& prefix, const std::string& model, int groups, int size);

/// Hands in a batch job on a new connection; returns the status, 0 without an answer.
int submit(const std::string& daemon, const std::string& prefix, const std::string& id, const nlohmann::json& job);
/// Reads results from \a position on; the status is 0 without an answer.
int readResults(const std::string& daemon, const std::string& id, std::size_t position, std::vector<listed_result>& results);
int endJob(const std::string& daemon, const std::string& id);

}
