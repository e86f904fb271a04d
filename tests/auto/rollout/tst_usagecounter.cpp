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
        counter.setBounds({ 5s, 10s });
    }

    wall_time time;
    usage_counter counter { time };
};

}

TEST_CASE("Requests are counted in the window in which they began, by organisation")
{
    counter_fixture fixture;
    CHECK_FALSE(fixture.counter.hasNews(at(0s)));
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.noteBegun("guild", at(4999ms));
    fixture.counter.noteBegun("weavers", at(5s));
    fixture.counter.noteBegun("guild", at(2s));
    CHECK(fixture.counter.hasNews(at(5s)));
    const std::vector<usage_window> expected { { 200, false, { { "guild", 3 } } }, { 201, false, { { "weavers", 1 } } } };
    CHECK(fixture.counter.takeWindows(at(5s)) == expected);
    CHECK_FALSE(fixture.counter.hasNews(at(5s)));
    fixture.counter.putBack();
    CHECK(fixture.counter.hasNews(at(5s)));
}

TEST_CASE("A window that is over for the process is news once, and is dropped when it cannot be reported any more")
{
    counter_fixture fixture;
    fixture.counter.noteBegun("guild", at(1s));
    fixture.counter.takeWindows(at(1s));
    CHECK_FALSE(fixture.counter.hasNews(at(5700ms)));
    CHECK(fixture.counter.hasNews(at(5800ms)));
    CHECK(fixture.counter.takeWindows(at(5800ms)).at(0).isClosed);
    CHECK_FALSE(fixture.counter.hasNews(at(20s)));
    CHECK(fixture.counter.takeWindows(at(25s)).empty());
}

TEST_CASE("Nothing is counted before the time of day is known")
{
    const wall_time unknown;
    usage_counter counter(unknown);
    counter.noteBegun("guild", at(1s));
    CHECK_FALSE(counter.hasNews(at(1s)));
    CHECK(counter.takeWindows(at(1s)).empty());
}
