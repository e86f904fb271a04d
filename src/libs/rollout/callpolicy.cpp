#include "callpolicy.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Limit of attempts at replicas that do not run the call; each attempt costs a round trip.
    constexpr std::uint32_t maxTries = 6;
    /// No further attempt is made with less time left than this.
    constexpr duration minAttemptTime = std::chrono::milliseconds(15);
    /// Fraction of the time left that an attempt gets when another replica can be tried after it.
    constexpr double firstAttemptShare = 0.45;

    bool mayRepeat(const call_progress& call)
    {
        return call.kind == route_kind::Idempotent;
    }

    bool hasTime(const call_progress& call, instant now)
    {
        return call.deadline - now >= minAttemptTime;
    }

    call_step stepWithoutRetry(const call_progress& call)
    {
        return call.mayHaveRun ? call_step::Fail : call_step::Refuse;
    }

    call_step decideAfterUnrun(const call_progress& call, instant now)
    {
        if (call.tries < maxTries && hasTime(call, now) && (!call.mayHaveRun || mayRepeat(call)))
            return call_step::Retry;
        return stepWithoutRetry(call);
    }

}

call_step decideAfterAttempt(const call_progress& call, attempt_end end, instant now)
{
    switch (end) {
    case attempt_end::Answered:
        return call_step::Forward;
    case attempt_end::AnsweredFailure:
        if (mayRepeat(call) && call.attempts < call.maxAttempts && hasTime(call, now))
            return call_step::Retry;
        return call_step::Forward;
    case attempt_end::NotRun:
    case attempt_end::OtherReplica:
    case attempt_end::NotSent:
        return decideAfterUnrun(call, now);
    case attempt_end::Interrupted:
        if (mayRepeat(call) && call.attempts < call.maxAttempts && hasTime(call, now))
            return call_step::Retry;
        return call_step::Fail;
    }
    return call_step::Fail;
}

duration attemptTime(const call_progress& call, bool hasOtherReplica, instant now)
{
    const duration left = call.deadline - now;
    const bool mayMoveOn = mayRepeat(call) && hasOtherReplica && call.attempts + 1 < call.maxAttempts;
    if (!mayMoveOn)
        return left;
    return std::max(minAttemptTime, std::chrono::duration_cast<duration>(left * firstAttemptShare));
}

replica_outcome replicaOutcome(attempt_end end)
{
    switch (end) {
    case attempt_end::Answered:
    case attempt_end::AnsweredFailure:
        return replica_outcome::Answered;
    case attempt_end::NotRun:
        return replica_outcome::Full;
    case attempt_end::OtherReplica:
    case attempt_end::NotSent:
    case attempt_end::Interrupted:
        return replica_outcome::Failed;
    }
    return replica_outcome::Failed;
}

duration longestTime(const route& route, std::optional<duration> timeRemaining)
{
    return std::min(timeRemaining.value_or(route.timeout), route.timeout);
}

duration retryAfter(const route& route)
{
    constexpr duration shortest = std::chrono::milliseconds(50);
    return std::max(shortest, route.objective / 2);
}

}
