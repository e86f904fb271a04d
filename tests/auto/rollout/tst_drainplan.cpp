#include <support/rolloutfixture.h>

#include <rollout/drainplan.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

struct request_case {
    const char* name;
    /// Time from the begin of the shutdown to the request.
    std::chrono::milliseconds arrival;
    std::chrono::milliseconds longest;
    std::chrono::milliseconds usual;
    bool isTaken;
};

const request_case requestCases[] = {
    { "may take long, usually does not, first second", 1000ms, 60000ms, 30ms, true },
    { "may take long, unknown, first second", 1000ms, 60000ms, 0ms, true },
    { "usually takes longer than is left, first second", 1000ms, 60000ms, 5000ms, false },
    { "ends in time in any case, late", 4000ms, 800ms, 30ms, true },
    { "ends in time in any case, later", 7000ms, 600ms, 30ms, true },
    { "may take long, late", 4000ms, 10000ms, 30ms, false },
    { "may take a little too long, late", 7000ms, 800ms, 30ms, false },
    { "after the final answers", 7800ms, 1ms, 1ms, false },
};

}

TEST_CASE("Before a shutdown begins, every request is taken and nothing ends")
{
    const drain_plan plan;
    CHECK_FALSE(plan.hasBegun());
    CHECK(plan.mayTake(std::chrono::hours(1), std::chrono::hours(1), at(0ms)));
    CHECK(plan.answersEnd() == instant::max());
    CHECK_FALSE(plan.isOutOfRotation(at(0ms)));
    CHECK_FALSE(plan.mayEnd(at(0ms)));
    CHECK_FALSE(plan.isOver(at(0ms)));
}

// Requests that came late in a shutdown were passed on and cut before their answers.
TEST_CASE("A request is taken in a shutdown only if there is time for it, or while its caller could be routed here again")
{
    for (const request_case& row : requestCases) {
        DYNAMIC_SECTION(row.name)
        {
            drain_plan plan;
            plan.begin(at(0ms), 8s);
            CHECK(plan.mayTake(row.longest, row.usual, at(row.arrival)) == row.isTaken);
        }
    }
}

TEST_CASE("Final answers come before the end of the process, and both before its kill, however short its stop time is")
{
    for (const std::chrono::milliseconds stopTime : { 100ms, 1000ms, 8000ms, 60000ms }) {
        INFO("stop time in ms: " << stopTime.count());
        drain_plan plan;
        plan.begin(at(0ms), stopTime);
        plan.begin(at(50ms), stopTime);
        CHECK(plan.answersEnd() > at(0ms));
        CHECK_FALSE(plan.isOver(plan.answersEnd()));
        CHECK(plan.isOver(at(stopTime)));
    }
}
