#include <support/rolloutfixture.h>

#include <rollout/usagecounter.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Counter of windows of 5 s; the boot time 0 is 1000 s after the start of 1970, the begin of window 200.
struct counter_fixture {
    counter_fixture()
    {
        time.addSample(at(0s), 1000s);
        counter.setBounds(usage_bounds { 5s, 10s });
    }

    wall_time time;
    usage_counter counter { time };
};

}

TEST_CASE("Requests are counted in the window in which they began, by organisation")
{
    counter_fixture fixture;
    CHECK_FALSE(fixture.counter.hasUnwritten(at(0s)));
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.noteBegun("guild", at(4999ms));
    fixture.counter.noteBegun("weavers", at(5s));
    fixture.counter.noteBegun("guild", at(2s));
    CHECK(fixture.counter.hasUnwritten(at(5s)));
    const std::vector<usage_window> expected { { 200, false, { { "guild", 3 } } }, { 201, false, { { "weavers", 1 } } } };
    CHECK(fixture.counter.windowsToWrite(at(5s)) == expected);
    CHECK_FALSE(fixture.counter.hasUnwritten(at(5s)));
    fixture.counter.markUnwritten();
    CHECK(fixture.counter.hasUnwritten(at(5s)));
}

TEST_CASE("A window that is over for the process is news once, and is dropped when it cannot be reported any more")
{
    counter_fixture fixture;
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.windowsToWrite(at(1s));
    CHECK_FALSE(fixture.counter.hasUnwritten(at(5200ms)));
    CHECK(fixture.counter.hasUnwritten(at(5300ms)));
    CHECK(fixture.counter.windowsToWrite(at(5300ms)).at(0).isClosed);
    CHECK_FALSE(fixture.counter.hasUnwritten(at(20s)));
    CHECK(fixture.counter.windowsToWrite(at(25s)).empty());
}

// A request that a replica refused was reported as one that began.
TEST_CASE("A request that did not begin after all is taken back")
{
    counter_fixture fixture;
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.noteBegun("guild", at(2s));
    fixture.counter.noteNotBegun("guild", at(1s));
    CHECK(fixture.counter.windowsToWrite(at(3s)).at(0).counts == usage_counts { { "guild", 1 } });
    fixture.counter.noteNotBegun("guild", at(2s));
    CHECK(fixture.counter.hasUnwritten(at(3s)));
    CHECK(fixture.counter.windowsToWrite(at(3s)).at(0).counts.empty());
    fixture.counter.noteNotBegun("guild", at(2s));
    CHECK_FALSE(fixture.counter.hasUnwritten(at(3s)));
}

TEST_CASE("Without bounds nothing is counted, and what was counted is dropped")
{
    counter_fixture fixture;
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.setBounds(std::nullopt);
    fixture.counter.noteBegun("guild", at(2s));
    fixture.counter.setBounds(usage_bounds { 5s, 10s });
    CHECK(fixture.counter.windowsToWrite(at(3s)).empty());
}

TEST_CASE("Nothing is counted before the time of day is known")
{
    const wall_time unknown;
    usage_counter counter(unknown);
    counter.setBounds(usage_bounds {});
    counter.noteBegun("guild", at(1s));
    CHECK_FALSE(counter.hasUnwritten(at(1s)));
    CHECK(counter.windowsToWrite(at(1s)).empty());
}
