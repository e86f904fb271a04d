#include "softwarehistory.h"

#include <utility>

namespace ragwortreach {

void software_history::observe(const replica_pool& pool, instant now)
{
    if (m_noted != pool.listingRevision())
        noteListing(pool, now);
    for (std::pair<const std::string, periods>& item : m_services) {
        while (item.second.size() > 1 && now - item.second[1].since > retention)
            item.second.pop_front();
    }
}

/// A service without replicas keeps its last period, since its replicas may be away for a moment.
void software_history::noteListing(const replica_pool& pool, instant now)
{
    m_noted = pool.listingRevision();
    std::map<std::string, std::set<std::string>> listed;
    for (const std::pair<const std::string, replica_pool::replica>& item : pool.replicas())
        listed[item.second.entry.service].insert(item.second.entry.software);
    for (std::pair<const std::string, std::set<std::string>>& item : listed) {
        periods& known = m_services[item.first];
        if (known.empty() || known.back().versions != item.second)
            known.push_back({ now, std::move(item.second) });
    }
}

const software_history::periods& software_history::periodsOf(std::string_view service) const
{
    static const periods none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

bool software_history::hasSeveral(std::string_view service, instant now) const
{
    const periods& known = periodsOf(service);
    for (std::size_t index = 0; index < known.size(); ++index) {
        const instant end = index + 1 < known.size() ? known[index + 1].since : now;
        if (known[index].versions.size() > 1 && now - end <= listingSpread)
            return true;
    }
    return false;
}

std::optional<std::string> software_history::onlyVersion(std::string_view service, instant now) const
{
    const periods& known = periodsOf(service);
    const bool isOnly = known.size() == 1 && known.front().versions.size() == 1 && now - known.front().since >= retention;
    return isOnly ? std::optional<std::string>(*known.front().versions.begin()) : std::nullopt;
}

std::optional<software_history::unnoted_stream> software_history::unnotedStream(std::string_view service) const
{
    std::set<std::string> alone;
    std::optional<instant> severalSince;
    for (const period& item : periodsOf(service)) {
        if (item.versions.size() == 1)
            alone.insert(*item.versions.begin());
        else if (!severalSince)
            severalSince = item.since;
    }
    if (alone.size() != 1)
        return std::nullopt;
    return unnoted_stream { *alone.begin(), severalSince };
}

}
