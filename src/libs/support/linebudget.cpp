#include "linebudget.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

bool line_budget::take(std::string_view event, time_point now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), bucket { burstLines, now, 0 }).first;
    bucket& budget = found->second;
    const double seconds = std::chrono::duration<double>(now - budget.filledAt).count();
    budget.lines = std::min(burstLines, budget.lines + linesPerSecond * seconds);
    budget.filledAt = now;
    if (budget.lines < 1) {
        ++budget.leftOut;
        return false;
    }
    budget.lines -= 1;
    return true;
}

std::uint64_t line_budget::takeLeftOut(std::string_view event)
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : std::exchange(found->second.leftOut, 0);
}

}
