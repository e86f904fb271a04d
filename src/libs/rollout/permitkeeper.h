#pragma once

#include "replicalimit.h"

#include <map>
#include <vector>

namespace ragwortreach {

/// Permits for one replica since the last report.
struct permit_use {
    replica_instance replica;
    double perSecond = 0;
    std::uint64_t given = 0;
    std::uint64_t denied = 0;
};

/// Gives out the permits for requests to limited replicas at a given rate.
///
/// Turns that nobody took can be taken later, up to maxCredit of them. A permit may be reserved ahead: whoever may wait
/// longer gets a turn that is further away. So requests that may wait are served before those that may not while there are
/// more of them than the replica takes.
class permit_keeper {
public:
    /// Longest time for which a permit can be reserved ahead.
    static constexpr duration maxAhead = std::chrono::seconds(1);
    /// Time for which turns that nobody took are kept.
    static constexpr duration maxCredit = std::chrono::seconds(1);

    struct decision {
        bool isGranted = false;
        /// Time until the request may be sent or, if it is not granted, until the next turn that is free.
        duration wait {};
    };

    decision decide(const replica_instance& replica, double perSecond, duration maxWait, instant now);
    /// Forgets replicas that nobody asked for since \a limit.
    void forgetBefore(instant limit);
    /// Returns the permits of each replica that was asked for since the last call.
    std::vector<permit_use> takeUse();

private:
    struct account {
        /// Time of the next turn that is free; in the past when turns are kept.
        instant nextTurn {};
        permit_use use;
    };

    std::map<replica_instance, account> m_accounts;
};

}
