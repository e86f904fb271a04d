#pragma once

#include "replicapool.h"
#include "routeconfiguration.h"

#include <core/instant.h>

namespace ragwortreach {

/// How one attempt of a call ended.
enum class attempt_end {
    /// A whole answer of the replica arrived.
    Answered,
    /// The replica answered with a failure of its own; it ran the call.
    AnsweredFailure,
    /// The replica says that it did not run the call.
    NotRun,
    /// Another replica has the address; it did not run the call.
    OtherReplica,
    /// No connection; no byte was sent.
    NotSent,
    /// The answer broke, belongs to another request, or did not come in time.
    Interrupted,
};

/// What becomes of a call after an attempt.
enum class call_step {
    /// Pass the answer on.
    Forward,
    /// Try another replica.
    Retry,
    /// The call has not run; say so, and when to come back.
    Refuse,
    /// The call may have run; its outcome is not known.
    Fail,
};

/// Call as far as decisions need it.
struct call_progress {
    route_kind kind = route_kind::Idempotent;
    std::uint32_t maxAttempts = 1;
    /// Replicas that the call was sent to and that may have worked on it.
    std::uint32_t attempts = 0;
    /// Replicas that were tried in vain, whether or not they worked on the call.
    std::uint32_t tries = 0;
    bool mayHaveRun = false;
    instant deadline {};
};

/// Load pattern: replicas that crash, are full or answer badly while the caller has little time. A call that may
/// repeat moves on at once; one that may not is refused only while no replica can have worked on it.
call_step decideAfterAttempt(const call_progress& call, attempt_end end, instant now);

/// Time that one attempt gets. A call that may repeat keeps time for another replica.
duration attemptTime(const call_progress& call, bool hasOtherReplica, instant now);

/// What the end of an attempt tells about the replica.
replica_outcome replicaOutcome(attempt_end end);

/// Time after which a refused caller is to come back, for a route with \a objective.
duration retryAfter(const route& route);

}
