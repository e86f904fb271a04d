#pragma once

#include "replicalimit.h"

#include <map>

namespace ragwortreach {

/// Gives out the permits for requests to limited replicas, evenly spaced at a given rate.
///
/// A permit may be reserved ahead: whoever may wait longer gets a turn that is further away. So requests that may wait
/// are served before those that may not while there are more of them than the replica takes.
class permit_keeper {
public:
    /// Longest time for which a permit can be reserved ahead.
    static constexpr duration maxAhead = std::chrono::seconds(1);

    struct decision {
        bool isGranted = false;
        /// Time until the request may be sent or, if it is not granted, until the next turn that is free.
        duration wait {};
    };

    decision decide(const replica_instance& replica, double perSecond, duration maxWait, instant now);
    /// Forgets replicas that nobody asked for since \a limit.
    void forgetBefore(instant limit);

private:
    /// Time of the next turn that is free, by replica.
    std::map<replica_instance, instant> m_nextTurns;
};

}
