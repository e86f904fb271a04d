#include <support/rolloutfixture.h>

#include <rollout/walltime.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

TEST_CASE("Wall time is unknown before the first sample and follows the time of day after it")
{
    wall_time time;
    CHECK(time.needsSample(at(1s)));
    CHECK_FALSE(time.at(at(1s)));
    time.addSample(at(1s), 1000s);
    CHECK_FALSE(time.needsSample(at(1500ms)));
    CHECK(time.needsSample(at(2s)));
    CHECK(time.at(at(1500ms)) == 1000500ms);
}

// The windows of usage were shifted by a time of day that jumped and came back.
TEST_CASE("A jump of the time of day that lasts less than half a minute changes nothing")
{
    wall_time time;
    for (int second = 1; second <= 100; ++second) {
        const bool isJumping = second > 61 && second <= 90;
        time.addSample(at(std::chrono::seconds(second)), std::chrono::seconds(1000 + second + (isJumping ? 7 : 0)));
        CHECK(time.at(at(std::chrono::seconds(second))) == std::chrono::seconds(1000 + second));
    }
}
