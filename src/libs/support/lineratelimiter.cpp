#include "lineratelimiter.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

bool line_rate_limiter::tryTake(std::string_view event, time_point now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), bucket { burstLines, now, 0 }).first;
    bucket& available = found->second;
    const double seconds = std::chrono::duration<double>(now - available.filledAt).count();
    available.lines = std::min(burstLines, available.lines + linesPerSecond * seconds);
    available.filledAt = now;
    if (available.lines < 1) {
        ++available.leftOut;
        return false;
    }
    available.lines -= 1;
    return true;
}

std::uint64_t line_rate_limiter::takeLeftOutCount(std::string_view event)
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : std::exchange(found->second.leftOut, 0);
}

}
