#include <core/hybridclock.h>
#include <core/resultcode.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace ragwortreach;

namespace {

struct clock_row {
    const char* name;
    std::uint64_t wall;
    std::uint64_t expectedWall;
    std::uint16_t expectedLogical;
};

}

TEST_CASE("Timestamps increase also when the wall clock stands still or is set back")
{
    const clock_row rows[] = {
        { "first reading", 100, 100, 0 },
        { "same millisecond", 100, 100, 1 },
        { "wall clock steps back", 40, 100, 2 },
        { "wall clock advances", 101, 101, 0 },
    };
    hybrid_clock clock;
    for (const clock_row& row : rows) {
        CAPTURE(row.name);
        const hybrid_time time = clock.next(row.wall);
        CHECK(time.wallMilliseconds() == row.expectedWall);
        CHECK(time.logical() == row.expectedLogical);
    }
}

TEST_CASE("An overflow of the logical counter carries into the milliseconds")
{
    hybrid_clock clock;
    REQUIRE(!clock.receive({ hybrid_time::fromMilliseconds(10).packed + 0xffff }, 10));
    CHECK(clock.next(10) == hybrid_time::fromMilliseconds(11));
}

TEST_CASE("A timestamp beyond the drift bound is not merged")
{
    hybrid_clock clock(std::chrono::milliseconds(50));
    const hybrid_time before = clock.next(1000);
    CHECK(clock.receive(hybrid_time::fromMilliseconds(1051), 1000) == result_code::ValueOutOfRange);
    CHECK(clock.last() == before);
    CHECK(!clock.receive(hybrid_time::fromMilliseconds(1050), 1000));
    CHECK(clock.next(1000) > hybrid_time::fromMilliseconds(1050));
}

TEST_CASE("Between clocks with skew a received message is later than its sending")
{
    rc::prop("each event is later than all events that caused it", [](const std::vector<std::uint16_t>& steps) {
        hybrid_clock clocks[3];
        const std::uint64_t skews[3] = { 0, 700, 1500 };
        std::uint64_t wall = 1000;
        for (const std::uint16_t step : steps) {
            const std::size_t from = step % 3;
            const std::size_t to = (step / 3) % 3;
            wall += step % 7;
            const hybrid_time sent = clocks[from].next(wall + skews[from]);
            const hybrid_time before = clocks[to].last();
            RC_ASSERT(!clocks[to].receive(sent, wall + skews[to]));
            const hybrid_time received = clocks[to].next(wall + skews[to]);
            RC_ASSERT(received > sent);
            RC_ASSERT(received > before || from == to);
        }
    });
}
