#include "walltime.h"

#include <algorithm>
#include <vector>

namespace ragwortreach {

void wall_time::addSample(instant now, duration sinceEpoch)
{
    m_sampledAt = now;
    m_offsets.push_back(sinceEpoch - now.time_since_epoch());
    if (m_offsets.size() > maxSamples)
        m_offsets.pop_front();
    std::vector<duration> sorted(m_offsets.begin(), m_offsets.end());
    const std::vector<duration>::iterator middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_median = *middle;
}

std::optional<duration> wall_time::at(instant time) const
{
    if (m_offsets.empty())
        return std::nullopt;
    return time.time_since_epoch() + m_median;
}

}
