#include "permitkeeper.h"

#include <algorithm>

namespace ragwortreach {

permit_keeper::decision permit_keeper::decide(const replica_instance& replica, double perSecond, duration maxWait, instant now)
{
    const duration interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
    // A keeper that is new to a replica does not know what the one before it has given out.
    instant& nextTurn = m_nextTurns.try_emplace(replica, now + interval).first->second;
    // After a limit was raised, the turns of the lower one are too far away.
    nextTurn = std::clamp(nextTurn, now, now + maxAhead + interval);
    const duration wait = nextTurn - now;
    if (wait > std::min(maxWait, maxAhead))
        return { false, wait };
    nextTurn += interval;
    return { true, wait };
}

void permit_keeper::forgetBefore(instant limit)
{
    std::erase_if(m_nextTurns, [limit](const std::pair<const replica_instance, instant>& item) { return item.second < limit; });
}

}
