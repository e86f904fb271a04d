#pragma once

#include "permitagent.h"
#include "replicaaccess.h"
#include "replicalimit.h"

#include <core/instant.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach {

/// Outcome of an ask for a permit.
struct permit_outcome {
    /// Replica to send the request to after \c wait; empty when no permit was given, and the next turn comes after \c wait.
    std::string replica;
    duration wait {};
};

/// Interface that all ways to replicas share: they report what answers say about a replica, and ask for permits to send
/// requests to limited ones.
class replica_gate {
public:
    virtual ~replica_gate() = default;

    /// Notes the limit that an answer of \a replica stated, or that it stated none.
    virtual void noteLimit(const replica_instance& replica, std::optional<double> perSecond) = 0;
    /// Notes that \a replica announced its leaving in an answer.
    virtual void noteLeaving(const replica_instance& replica) = 0;
    /// An attempt that began at \a begunAt did not reach \a replica.
    virtual void noteUnreached(const replica_instance& replica, access_failure failure, instant begunAt) = 0;
    /// Asks for a permit to send a request to one of \a replicas. \a onOutcome is called once from the event loop, unless
    /// the ask is cancelled.
    virtual permit_number ask(std::vector<replica_instance> replicas, duration maxWait, std::function<void(const permit_outcome&)> onOutcome) = 0;
    virtual void cancel(permit_number number) = 0;
};

}
