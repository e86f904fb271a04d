#include <support/rolloutfixture.h>

#include <rollout/permitkeeper.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

const replica_instance shop { "shop-1", 7 };

}

TEST_CASE("A keeper gives out no more permits than the limit in any time, and all of them while requests wait")
{
    for (const double perSecond : { 0.5, 1.0, 2.3, 50.0 }) {
        INFO(perSecond);
        permit_keeper keeper;
        int granted = 0;
        for (instant now = at(0ms); now < at(60s); now += 5ms)
            granted += keeper.decide(shop, perSecond, 20ms, now).isGranted ? 1 : 0;
        CHECK(granted <= 60 * perSecond * 1.05 + 1);
        CHECK(granted >= 60 * perSecond * 0.9 - 1);
    }
}

TEST_CASE("Turns that are reserved ahead are spaced, and those that may not wait get none before them")
{
    permit_keeper keeper;
    keeper.decide(shop, 10, 0ms, at(0ms));
    CHECK(keeper.decide(shop, 10, 300ms, at(100ms)).wait == 0ms);
    CHECK(keeper.decide(shop, 10, 300ms, at(100ms)).wait == 100ms);
    CHECK(keeper.decide(shop, 10, 300ms, at(100ms)).wait == 200ms);
    const permit_keeper::decision hurried = keeper.decide(shop, 10, 0ms, at(110ms));
    CHECK_FALSE(hurried.isGranted);
    CHECK(hurried.wait == 290ms);
}

TEST_CASE("A keeper that is new to a replica gives nothing out at once, since its predecessor may have")
{
    permit_keeper keeper;
    CHECK_FALSE(keeper.decide(shop, 1, 100ms, at(0ms)).isGranted);
    CHECK(keeper.decide(shop, 1, 100ms, at(1000ms)).isGranted);
}

TEST_CASE("Turns that nobody took in the last second can be taken later, and no more of them")
{
    permit_keeper keeper;
    keeper.decide(shop, 4, 0ms, at(0ms));
    int granted = 0;
    for (int request = 0; request < 20; ++request)
        granted += keeper.decide(shop, 4, 0ms, at(10s)).isGranted ? 1 : 0;
    CHECK(granted == 5);
}

TEST_CASE("A keeper that is asked only now and then gives out nine tenths of the limit all the same")
{
    permit_keeper keeper;
    int granted = 0;
    for (instant now = at(0ms); now < at(20s); now += 85ms) {
        for (int request = 0; request < 3; ++request)
            granted += keeper.decide(shop, 20, 0ms, now).isGranted ? 1 : 0;
    }
    CHECK(granted <= 20 * 20 * 1.05 + 1);
    CHECK(granted >= 20 * 20 * 0.9);
}
