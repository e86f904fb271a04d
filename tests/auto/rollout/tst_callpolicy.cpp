#include <support/rolloutfixture.h>

#include <rollout/callpolicy.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

struct policy_case {
    const char* name;
    route_kind kind;
    std::uint32_t attempts;
    bool mayHaveRun;
    std::chrono::milliseconds left;
    attempt_end end;
    call_step step;
};

const policy_case policyCases[] = {
    { "complete answer", route_kind::NonIdempotent, 1, true, 500ms, attempt_end::Answered, call_step::Forward },
    { "idempotent call interrupted", route_kind::Idempotent, 1, true, 500ms, attempt_end::Interrupted, call_step::Retry },
    { "idempotent call interrupted at the last attempt", route_kind::Idempotent, 2, true, 500ms, attempt_end::Interrupted, call_step::Fail },
    { "idempotent call interrupted without time left", route_kind::Idempotent, 1, true, 5ms, attempt_end::Interrupted, call_step::Fail },
    { "non-idempotent call interrupted", route_kind::NonIdempotent, 1, true, 500ms, attempt_end::Interrupted, call_step::Fail },
    { "non-idempotent call at a full replica", route_kind::NonIdempotent, 0, false, 500ms, attempt_end::NotRun, call_step::Retry },
    { "non-idempotent call at a full replica without time left", route_kind::NonIdempotent, 0, false, 5ms, attempt_end::NotRun, call_step::Refuse },
    { "non-idempotent call without a connection", route_kind::NonIdempotent, 0, false, 500ms, attempt_end::NotSent, call_step::Retry },
    { "non-idempotent call without a connection, may have run earlier", route_kind::NonIdempotent, 1, true, 500ms, attempt_end::NotSent, call_step::Fail },
    { "stream at the address of another replica", route_kind::Streaming, 0, false, 500ms, attempt_end::OtherReplica, call_step::Retry },
    { "idempotent call answered with a failure", route_kind::Idempotent, 1, true, 500ms, attempt_end::AnsweredFailure, call_step::Retry },
    { "non-idempotent call answered with a failure", route_kind::NonIdempotent, 1, true, 500ms, attempt_end::AnsweredFailure, call_step::Forward },
    { "idempotent call not run without time left, may have run earlier", route_kind::Idempotent, 1, true, 5ms, attempt_end::NotRun, call_step::Fail },
};

}

TEST_CASE("The step after an attempt depends on whether the call may be repeated and may have run")
{
    for (const policy_case& row : policyCases) {
        DYNAMIC_SECTION(row.name)
        {
            const call_progress call { row.kind, 2, row.attempts, row.attempts, row.mayHaveRun, at(row.left) };
            CHECK(decideAfterAttempt(call, row.end, at(0ms)) == row.step);
        }
    }
}

TEST_CASE("An attempt of a call that may be repeated leaves time for another replica")
{
    const call_progress repeatable { route_kind::Idempotent, 2, 0, 0, false, at(800ms) };
    CHECK(attemptTime(repeatable, true, at(0ms)) < 400ms);
    CHECK(attemptTime(repeatable, false, at(0ms)) == 800ms);
    const call_progress order { route_kind::NonIdempotent, 2, 0, 0, false, at(800ms) };
    CHECK(attemptTime(order, true, at(0ms)) == 800ms);
}
