#pragma once

#include "replicalimit.h"

#include <map>
#include <vector>

namespace ragwortreach {

/// Limits that replicas stated in their answers, to this daemon or to others.
///
/// Statements are merged in any order: the latest one about an instance of a replica counts. A lower limit holds at once.
/// After a limit was raised or lifted, the rate doubles in each rampStep until it reaches the new limit, so that a
/// replica that has just recovered is not flooded.
class limit_table {
public:
    static constexpr duration rampStep = std::chrono::milliseconds(250);
    /// After this time of a lifted limit the replica is not limited at all.
    static constexpr duration rampTime = std::chrono::seconds(2);
    /// A limit that no answer has confirmed for this time is forgotten, or for the time of three requests if that is longer.
    static constexpr duration retention = std::chrono::seconds(30);
    /// Least rate, in requests a second. Without any request nobody would learn that a limit has ended.
    static constexpr double minRate = 0.1;
    static constexpr std::size_t maxLimits = 4096;

    /// Merges \a limit. Returns whether it changes the limit of the replica, so that other daemons should learn of it.
    bool merge(const replica_limit& limit, instant now);
    /// Requests a second that all daemons together may send to \a replica; empty when it is not limited.
    std::optional<double> rate(const replica_instance& replica, instant now) const;
    /// Latest statement about \a replica, if there is any.
    std::optional<replica_limit> find(const replica_instance& replica) const;
    /// Number of replicas that are limited at \a now.
    std::size_t limitedCount(instant now) const;
    /// Latest statement about each replica.
    std::vector<replica_limit> all() const;
    void forgetOld(instant now);

private:
    struct entry {
        std::optional<double> perSecond;
        instant statedAt {};
        instant changedAt {};
        /// Rate at which the ramp to a higher limit started.
        double rampStart = 0;
    };
    std::optional<double> rateOf(const entry& known, instant now) const;
    static duration retentionOf(const entry& known);

    std::map<replica_instance, entry> m_limits;
};

}
