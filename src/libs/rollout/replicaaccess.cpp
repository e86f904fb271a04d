#include "replicaaccess.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

void replica_access::noteReached(instant now)
{
    m_reachedAt = now;
    m_failed.clear();
    m_isLost = false;
    m_isDoubtful = false;
    m_wantedChecks = 0;
    m_openChecks = 0;
}

void replica_access::noteFailure(std::string_view replica, access_failure failure, instant begunAt)
{
    if (m_reachedAt && begunAt < *m_reachedAt)
        return;
    switch (failure) {
    case access_failure::Refused:
        m_failed.emplace(replica);
        break;
    case access_failure::ConnectTimedOut:
        m_failed.emplace(replica);
        m_isDoubtful = true;
        break;
    case access_failure::Silent:
        if (wasReachedRecently(begunAt))
            return;
        m_isDoubtful = true;
        break;
    }
    m_wantedChecks = requiredFailures;
}

void replica_access::noteCheckFailure(std::string_view replica, access_failure failure, instant begunAt)
{
    if (m_reachedAt && begunAt < *m_reachedAt)
        return;
    noteFailure(replica, failure, begunAt);
    m_wantedChecks = 0;
    m_openChecks -= std::min<std::size_t>(m_openChecks, 1);
    m_isLost = m_isLost || (m_openChecks == 0 && m_failed.size() >= std::min(requiredFailures, m_listed));
}

void replica_access::noteOtherLost(instant now)
{
    if (!wasReachedRecently(now))
        m_wantedChecks = requiredFailures;
}

std::vector<replica_instance> replica_access::takeChecks(const replica_pool& pool, instant now)
{
    std::vector<replica_instance> checks;
    const bool mustWait = m_isLost ? now - m_checkedAt < checkInterval : m_openChecks > 0;
    if (mustWait)
        return checks;
    std::size_t count = m_isLost ? 1 : std::exchange(m_wantedChecks, 0);
    if (count == 0)
        return checks;
    m_checkedAt = now;
    const std::map<std::string, replica_pool::replica, std::less<>>& replicas = pool.replicas();
    count = std::min(count, replicas.size());
    std::map<std::string, replica_pool::replica, std::less<>>::const_iterator next = replicas.upper_bound(m_lastChecked);
    for (std::size_t passed = 0; passed < replicas.size() && checks.size() < count; ++passed, ++next) {
        if (next == replicas.end())
            next = replicas.begin();
        // While access is lost, or all others have failed, each replica may be the first to be reached again.
        if (m_isLost || m_failed.size() >= replicas.size() || !m_failed.contains(next->first))
            checks.push_back(next->second.instance());
    }
    if (!checks.empty())
        m_lastChecked = checks.back().id;
    m_openChecks += checks.size();
    return checks;
}

}
