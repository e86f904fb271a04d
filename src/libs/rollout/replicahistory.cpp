#include "replicahistory.h"

#include <algorithm>

namespace ragwortreach {

std::string_view toString(entry_standing standing)
{
    switch (standing) {
    case entry_standing::Current:
        return "current";
    case entry_standing::Returned:
        return "returned";
    case entry_standing::Late:
        return "late";
    case entry_standing::Foreign:
        return "foreign";
    }
    return "unknown";
}

bool replica_history::isLate(const replica& known, const replica_entry& entry)
{
    if (known.startedAt != entry.startedAt)
        return entry.startedAt < known.startedAt;
    return entry.number < known.number;
}

entry_standing replica_history::note(const replica_entry& entry, instant now)
{
    const auto found = m_replicas.find(entry.id);
    if (found == m_replicas.end()) {
        if (m_replicas.size() < maxReplicas)
            m_replicas.emplace(entry.id, replica { entry.startedAt, entry.number, std::nullopt, std::nullopt });
        return entry_standing::Current;
    }
    replica& known = found->second;
    if (entry.startedAt == 0 && known.startedAt != 0)
        return entry_standing::Foreign;
    if (isLate(known, entry)) {
        known.late = late_entry { entry, now };
        return entry_standing::Late;
    }
    const bool isReturned = known.removedAt && entry.startedAt != 0 && known.startedAt == entry.startedAt;
    known = { entry.startedAt, entry.number, std::nullopt, std::nullopt };
    return isReturned ? entry_standing::Returned : entry_standing::Current;
}

void replica_history::noteRemoved(std::string_view id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    found->second.late.reset();
    found->second.removedAt = now;
}

std::vector<replica_entry> replica_history::takeConfirmed(instant now)
{
    std::vector<replica_entry> confirmed;
    for (std::pair<const std::string, replica>& item : m_replicas) {
        replica& known = item.second;
        if (!known.late || now - known.late->readAt < m_confirmationTime)
            continue;
        confirmed.push_back(known.late->entry);
        known = { known.late->entry.startedAt, known.late->entry.number, std::nullopt, std::nullopt };
    }
    return confirmed;
}

void replica_history::forgetOld(instant now)
{
    std::erase_if(m_replicas, [now](const std::pair<const std::string, replica>& item) {
        return item.second.removedAt && !item.second.late && now - *item.second.removedAt > retention;
    });
}

}
