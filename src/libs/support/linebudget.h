#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bounds the lines of each event of the log with a token bucket, so that one kind under load leaves room for others.
class line_budget {
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr double linesPerSecond = 40;
    static constexpr double burstLines = 200;

    /// Whether a line of \a event may be written at \a now.
    bool take(std::string_view event, time_point now);
    /// Lines of \a event that were left out since the last call.
    std::uint64_t takeLeftOut(std::string_view event);

private:
    struct bucket {
        double lines = burstLines;
        time_point filledAt;
        std::uint64_t leftOut = 0;
    };

    std::map<std::string, bucket, std::less<>> m_buckets;
};

}
