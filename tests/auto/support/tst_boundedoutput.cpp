#include <support/boundedoutput.h>
#include <support/lineratelimiter.h>

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <unistd.h>

using namespace ragwortreach;
using namespace std::chrono_literals;

TEST_CASE("A stalled reader does not block the writer, and lines that do not fit the buffer are counted")
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

TEST_CASE("A frequent event is limited to its rate without effect on other events")
{
    line_rate_limiter limiter;
    const line_rate_limiter::time_point start {};
    int written = 0;
    for (int number = 0; number < 1000; ++number)
        written += limiter.tryTake("call_ended", start) ? 1 : 0;
    CHECK(written == static_cast<int>(line_rate_limiter::burstLines));
    CHECK(limiter.tryTake("order_sent", start));
    CHECK(limiter.takeLeftOutCount("call_ended") == 1000U - static_cast<unsigned>(written));
    CHECK(limiter.takeLeftOutCount("call_ended") == 0);
    CHECK(limiter.tryTake("call_ended", start + 100ms));
}
