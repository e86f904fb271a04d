#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace ragwortreach {

/// Replicas of a service in one data centre that are ordered together: the regular ones, or the spot ones, which the
/// platform may reclaim at any time.
struct replica_group {
    std::string service;
    std::string dataCentre;
    bool isSpot = false;

    bool operator==(const replica_group&) const = default;
    bool operator<(const replica_group& other) const
    {
        return std::tie(service, dataCentre, isSpot) < std::tie(other.service, other.dataCentre, other.isSpot);
    }
};

/// Order of a number of replicas.
struct scaling_order {
    replica_group group;
    std::uint32_t count = 0;

    bool operator==(const scaling_order&) const = default;
};

/// How the platform answered an order.
enum class scaling_outcome {
    Accepted,
    /// There are no spot replicas in the data centre at the moment.
    NotAvailable,
    /// Not carried out.
    Refused,
    /// No answer; the order may still be carried out.
    Unknown,
};

}
