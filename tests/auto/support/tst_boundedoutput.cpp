#include <support/boundedoutput.h>
#include <support/linebudget.h>

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <unistd.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

TEST_CASE("A reader that stands still does not hold the writer up, and lines beyond the buffer are counted")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    bounded_output output(ends[1]);
    const std::string line(1000, 'x');
    std::size_t taken = 0;
    for (int number = 0; number < 2000; ++number)
        taken += output.write(line) ? line.size() : 0;
    CHECK(output.linesLeftOut() > 0);
    CHECK(output.pendingBytes() <= bounded_output::maxPendingBytes);

    std::string read;
    std::array<char, 65536> piece {};
    while (read.size() < taken) {
        const ssize_t size = ::read(ends[0], piece.data(), piece.size());
        REQUIRE(size > 0);
        read.append(piece.data(), static_cast<std::size_t>(size));
        output.flush();
    }
    CHECK(read.size() == taken);
    CHECK(output.pendingBytes() == 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("A kind of line under load is cut to its budget and leaves other kinds alone")
{
    line_budget budget;
    const line_budget::time_point start {};
    int written = 0;
    for (int number = 0; number < 1000; ++number)
        written += budget.take("call_ended", start) ? 1 : 0;
    CHECK(written == static_cast<int>(line_budget::burstLines));
    CHECK(budget.take("order_sent", start));
    CHECK(budget.takeLeftOut("call_ended") == 1000U - static_cast<unsigned>(written));
    CHECK(budget.takeLeftOut("call_ended") == 0);
    CHECK(budget.take("call_ended", start + 100ms));
}
