#pragma once

#include <core/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace ragwortreach {

/// One process instance of a replica. A replica that restarts under its id is another instance.
struct replica_instance {
    std::string id;
    /// Start time of the replica in Unix milliseconds.
    std::int64_t startedAt = 0;

    bool operator==(const replica_instance&) const = default;
    bool operator<(const replica_instance& other) const { return std::tie(id, startedAt) < std::tie(other.id, other.startedAt); }
};

/// What an answer of a replica said about the requests that it takes.
struct replica_limit {
    replica_instance replica;
    /// Requests a second that the replica takes from all daemons together; empty when it takes any number.
    std::optional<double> perSecond;
    /// Time of the answer.
    instant statedAt {};
};

}
