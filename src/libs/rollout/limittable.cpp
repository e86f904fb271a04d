#include "limittable.h"

#include <algorithm>
#include <cmath>

namespace ragwortreach {

namespace {

    constexpr double maxRetainedRequests = 3;

    std::optional<double> usableRate(const std::optional<double>& perSecond)
    {
        if (!perSecond)
            return std::nullopt;
        return std::max(*perSecond, limit_table::minRate);
    }

}

bool limit_table::merge(const replica_limit& limit, instant now)
{
    const std::map<replica_instance, entry>::iterator found = m_limits.find(limit.replica);
    if (found == m_limits.end()) {
        if (!limit.perSecond || m_limits.size() >= maxLimits)
            return false;
        const std::optional<double> perSecond = usableRate(limit.perSecond);
        m_limits.emplace(limit.replica, entry { perSecond, limit.statedAt, limit.statedAt, *perSecond });
        return true;
    }
    entry& known = found->second;
    if (limit.statedAt <= known.statedAt)
        return false;
    known.statedAt = limit.statedAt;
    const std::optional<double> next = usableRate(limit.perSecond);
    if (next == known.perSecond)
        return false;
    const std::optional<double> rateBefore = rateOf(known, now);
    known.rampStart = next && (!rateBefore || *next < *rateBefore) ? *next : rateBefore.value_or(minRate);
    known.perSecond = next;
    known.changedAt = now;
    return true;
}

std::optional<double> limit_table::rateOf(const entry& known, instant now) const
{
    const duration age = std::max(now - known.changedAt, duration::zero());
    if (age >= rampTime)
        return known.perSecond;
    const double doublings = static_cast<double>(age.count()) / static_cast<double>(rampStep.count());
    const double ramp = known.rampStart * std::exp2(doublings);
    return known.perSecond ? std::min(*known.perSecond, ramp) : ramp;
}

std::optional<double> limit_table::rate(const replica_instance& replica, instant now) const
{
    if (m_limits.empty())
        return std::nullopt;
    const std::map<replica_instance, entry>::const_iterator found = m_limits.find(replica);
    return found == m_limits.end() ? std::nullopt : rateOf(found->second, now);
}

std::optional<replica_limit> limit_table::find(const replica_instance& replica) const
{
    const std::map<replica_instance, entry>::const_iterator found = m_limits.find(replica);
    if (found == m_limits.end())
        return std::nullopt;
    return replica_limit { replica, found->second.perSecond, found->second.statedAt };
}

std::size_t limit_table::limitedCount(instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(),
        [this, now](const std::pair<const replica_instance, entry>& item) { return rateOf(item.second, now).has_value(); }));
}

std::vector<replica_limit> limit_table::all() const
{
    std::vector<replica_limit> limits;
    limits.reserve(m_limits.size());
    for (const std::pair<const replica_instance, entry>& item : m_limits)
        limits.push_back({ item.first, item.second.perSecond, item.second.statedAt });
    return limits;
}

duration limit_table::retentionOf(const entry& known)
{
    if (!known.perSecond)
        return retention;
    return std::max(retention, std::chrono::duration_cast<duration>(std::chrono::duration<double>(maxRetainedRequests / *known.perSecond)));
}

void limit_table::forgetOld(instant now)
{
    std::erase_if(m_limits, [now](const std::pair<const replica_instance, entry>& item) { return now - item.second.statedAt > retentionOf(item.second); });
}

}
