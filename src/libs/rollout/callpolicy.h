#pragma once

#include "replicapool.h"
#include "routeconfiguration.h"

#include <core/instant.h>

#include <optional>

namespace ragwortreach {

/// How one attempt of a call ended.
enum class attempt_end {
    /// A complete answer of the replica arrived.
    Answered,
    /// The replica ran the call and answered with a failure.
    AnsweredFailure,
    /// The replica reports that it did not run the call.
    NotRun,
    /// Another replica has the address by now; it did not run the call.
    OtherReplica,
    /// No connection; no byte was sent.
    NotSent,
    /// The answer was truncated, belongs to another request, or did not arrive in time.
    Interrupted,
};

/// Next step of a call after an attempt.
enum class call_step {
    /// Forward the answer to the caller.
    Forward,
    /// Try another replica.
    Retry,
    /// Refuse the call, which has not run, and tell the caller when to retry.
    Refuse,
    /// Report that the call may have run and that its outcome is unknown.
    Fail,
};

/// State of a call that the retry decisions depend on.
struct call_progress {
    route_kind kind = route_kind::Idempotent;
    std::uint32_t maxAttempts = 1;
    /// Number of replicas that received the call and may have worked on it.
    std::uint32_t attempts = 0;
    /// Number of replicas that were tried without success, whether or not they worked on the call.
    std::uint32_t tries = 0;
    bool mayHaveRun = false;
    instant deadline {};
};

/// Decides how a call continues after an attempt.
///
/// Replicas may crash, be full or answer wrongly while the caller has little time left. A call that may be repeated
/// goes to another replica at once. Any other call is retried or refused only while no replica can have worked on it.
call_step decideAfterAttempt(const call_progress& call, attempt_end end, instant now);

/// Time-out of the next attempt. A call that may be repeated keeps time in reserve for another replica.
duration attemptTime(const call_progress& call, bool hasOtherReplica, instant now);

/// Outcome for the replica's health record that follows from the end of an attempt.
replica_outcome replicaOutcome(attempt_end end);

/// Longest time that a call of \a route takes: the smaller of its time-out and \a timeRemaining, which its caller allows.
duration longestTime(const route& route, std::optional<duration> timeRemaining);

/// Time after which a refused caller should retry, derived from the objective of \a route.
duration retryAfter(const route& route);

}
