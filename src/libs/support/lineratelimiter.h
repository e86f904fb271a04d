#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Limits the rate of log lines per kind of event with a token bucket, so that a frequent event leaves room for others.
class line_rate_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr double linesPerSecond = 40;
    static constexpr double burstLines = 200;

    /// Takes a token of \a event. Returns false when there is none, so that the line is to be left out.
    bool tryTake(std::string_view event, time_point now);
    /// Number of lines of \a event that were left out since the last call.
    std::uint64_t takeLeftOutCount(std::string_view event);

private:
    struct bucket {
        /// Tokens: lines that may be written now.
        double lines = burstLines;
        time_point filledAt;
        std::uint64_t leftOut = 0;
    };

    std::map<std::string, bucket, std::less<>> m_buckets;
};

}
