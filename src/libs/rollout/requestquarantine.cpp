#include "requestquarantine.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Two reports of one replica instance within this time are about one crash: an instance that the platform does not
    /// tell from the one before it needs longer to start again.
    constexpr duration sameCrashTime = std::chrono::seconds(1);

    bool isSameCrash(const request_crash& left, const request_crash& right)
    {
        return left.replica == right.replica && std::chrono::abs(left.at - right.at) < sameCrashTime;
    }

    bool contains(const std::vector<request_crash>& crashes, const request_crash& crash)
    {
        return std::any_of(crashes.begin(), crashes.end(), [&crash](const request_crash& known) { return isSameCrash(known, crash); });
    }

}

std::string_view toString(request_standing standing)
{
    switch (standing) {
    case request_standing::Clear:
        return "clear";
    case request_standing::Suspected:
        return "suspected";
    case request_standing::Isolated:
        return "isolated";
    case request_standing::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

instant request_quarantine::entry::lastFactAt() const
{
    return crashes.empty() ? answeredAt : std::max(answeredAt, crashes.back().at);
}

bool request_quarantine::merge(const request_crash& crash, instant now)
{
    if (now - crash.at > retention)
        return false;
    const std::map<request_digest, entry>::iterator found = m_entries.find(crash.request);
    if (found == m_entries.end()) {
        makeRoom();
        m_entries[crash.request].crashes.push_back(crash);
        return true;
    }
    entry& known = found->second;
    if (crash.at <= known.answeredAt || contains(known.crashes, crash))
        return false;
    const std::vector<request_crash>::iterator position = std::upper_bound(known.crashes.begin(), known.crashes.end(), crash,
        [](const request_crash& left, const request_crash& right) { return left.at < right.at; });
    if (known.crashes.size() >= maxCrashes && position == known.crashes.begin())
        return false;
    known.crashes.insert(position, crash);
    if (known.crashes.size() > maxCrashes)
        known.crashes.erase(known.crashes.begin());
    return true;
}

bool request_quarantine::merge(const request_success& success, instant now)
{
    if (now - success.at > retention)
        return false;
    const std::map<request_digest, entry>::iterator found = m_entries.find(success.request);
    if (found == m_entries.end()) {
        makeRoom();
        m_entries[success.request].answeredAt = success.at;
        return true;
    }
    entry& known = found->second;
    if (success.at <= known.answeredAt)
        return false;
    const bool wasBlamed = !known.crashes.empty();
    known.answeredAt = success.at;
    std::erase_if(known.crashes, [&success](const request_crash& crash) { return crash.at <= success.at; });
    return wasBlamed;
}

/// Makes room for a request by forgetting the one whose last fact is the oldest.
void request_quarantine::makeRoom()
{
    if (m_entries.size() < maxRequests)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
        [](const std::pair<const request_digest, entry>& left, const std::pair<const request_digest, entry>& right) {
            return left.second.lastFactAt() < right.second.lastFactAt();
        }));
}

bool request_quarantine::isExplained(const entry& blamed) const
{
    return std::all_of(blamed.crashes.begin(), blamed.crashes.end(), [this, &blamed](const request_crash& crash) {
        return std::any_of(m_entries.begin(), m_entries.end(), [&blamed, &crash](const std::pair<const request_digest, entry>& other) {
            return other.second.crashes.size() > blamed.crashes.size() && contains(other.second.crashes, crash);
        });
    });
}

request_standing request_quarantine::standingByCrashes(const entry& blamed, instant now)
{
    if (blamed.crashes.size() < 2)
        return request_standing::Suspected;
    if (blamed.crashes.size() < maxCrashes || now - blamed.crashes.back().at > quarantineTime)
        return request_standing::Isolated;
    return request_standing::Quarantined;
}

request_standing request_quarantine::standingOf(const request_digest& request, instant now) const
{
    const std::map<request_digest, entry>::const_iterator found = m_entries.find(request);
    if (found == m_entries.end() || found->second.crashes.empty() || isExplained(found->second))
        return request_standing::Clear;
    return standingByCrashes(found->second, now);
}

bool request_quarantine::isBlamed(const request_digest& request) const
{
    const std::map<request_digest, entry>::const_iterator found = m_entries.find(request);
    return found != m_entries.end() && !found->second.crashes.empty();
}

std::vector<request_crash> request_quarantine::crashes() const
{
    std::vector<request_crash> all;
    for (const std::pair<const request_digest, entry>& item : m_entries)
        all.insert(all.end(), item.second.crashes.begin(), item.second.crashes.end());
    return all;
}

std::vector<request_success> request_quarantine::successes() const
{
    std::vector<request_success> all;
    for (const std::pair<const request_digest, entry>& item : m_entries) {
        if (item.second.answeredAt != instant {})
            all.push_back({ item.first, item.second.answeredAt });
    }
    return all;
}

std::size_t request_quarantine::blamedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [](const std::pair<const request_digest, entry>& item) { return !item.second.crashes.empty(); }));
}

std::size_t request_quarantine::quarantinedCount(instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now](const std::pair<const request_digest, entry>& item) {
        return !item.second.crashes.empty() && standingByCrashes(item.second, now) == request_standing::Quarantined;
    }));
}

void request_quarantine::forgetOld(instant now)
{
    std::erase_if(m_entries, [now](const std::pair<const request_digest, entry>& item) { return now - item.second.lastFactAt() > retention; });
}

}
