#include "permitkeeper.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

permit_keeper::decision permit_keeper::decide(const replica_instance& replica, double perSecond, duration maxWait, instant now)
{
    const duration interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
    // A keeper that is new to a replica does not know what the one before it has given out.
    account& known = m_accounts.try_emplace(replica, account { now + interval, {} }).first->second;
    // After a limit was raised, the turns of the lower one are too far away.
    known.nextTurn = std::clamp(known.nextTurn, now - maxCredit, now + maxAhead + interval);
    known.use.perSecond = perSecond;
    const duration wait = std::max(known.nextTurn - now, duration::zero());
    if (wait > std::min(maxWait, maxAhead)) {
        ++known.use.denied;
        return { false, wait };
    }
    ++known.use.given;
    known.nextTurn += interval;
    return { true, wait };
}

void permit_keeper::forgetBefore(instant limit)
{
    std::erase_if(m_accounts, [limit](const std::pair<const replica_instance, account>& item) { return item.second.nextTurn < limit; });
}

std::vector<permit_use> permit_keeper::takeUse()
{
    std::vector<permit_use> uses;
    for (std::pair<const replica_instance, account>& item : m_accounts) {
        if (item.second.use.given + item.second.use.denied == 0)
            continue;
        item.second.use.replica = item.first;
        uses.push_back(std::exchange(item.second.use, {}));
    }
    return uses;
}

}
