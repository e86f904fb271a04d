#include "membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ragwortreach::Internal {

namespace {

    bool isNewer(const member_delta& delta, const member_entry& entry)
    {
        return std::pair(delta.refutation, delta.health) > std::pair(entry.refutation, entry.health);
    }

    void setDetails(member& view, const member_details& details)
    {
        view.dataCentre = details.dataCentre;
        view.region = details.region;
        view.addresses = details.addresses;
    }

}

std::uint64_t nameHash(std::string_view vm)
{
    return XXH3_64bits(vm.data(), vm.size());
}

std::size_t digestBucket(std::uint64_t hash)
{
    return hash % digestBucketCount;
}

std::uint32_t digestHash(const member_delta& delta)
{
    if (delta.health == member_health::Failed)
        return 0;
    const std::array<std::uint64_t, 5> facts { nameHash(delta.vm), delta.instance.incarnation, delta.instance.startMilliseconds,
        delta.refutation, delta.leaving ? 1U : 0U };
    return static_cast<std::uint32_t>(XXH3_64bits(facts.data(), sizeof(facts)));
}

std::uint32_t instanceHash(const member& view)
{
    const std::array<std::uint64_t, 3> facts { nameHash(view.vm), view.instance.incarnation, view.instance.startMilliseconds };
    return static_cast<std::uint32_t>(XXH3_64bits(facts.data(), sizeof(facts)));
}

member_delta toDelta(const member_entry& entry, bool isDetailed)
{
    member_delta delta { entry.view.vm, entry.view.instance, entry.refutation, entry.health, entry.leaving, std::nullopt };
    if (isDetailed)
        delta.details = member_details { entry.view.dataCentre, entry.view.region, entry.view.addresses };
    return delta;
}

member_state stateOf(member_health health, bool leaving)
{
    if (health == member_health::Failed)
        return member_state::Failed;
    if (leaving)
        return member_state::Leaving;
    return health == member_health::Suspect ? member_state::Suspect : member_state::Alive;
}

member_table::member_table(std::size_t maxMembers)
    : m_maxMembers(maxMembers)
{
}

member_entry* member_table::find(std::string_view vm)
{
    const auto it = m_entries.find(vm);
    return it == m_entries.end() ? nullptr : &it->second;
}

const member_entry* member_table::find(std::string_view vm) const
{
    const auto it = m_entries.find(vm);
    return it == m_entries.end() ? nullptr : &it->second;
}

apply_result member_table::apply(const member_delta& delta, bool isSync, instant now)
{
    member_entry* entry = find(delta.vm);
    if (!entry)
        return applyUnknown(delta, now);
    if (delta.instance < entry->view.instance)
        return {};
    if (delta.instance > entry->view.instance)
        return applyNewInstance(*entry, delta, now);
    return applySameInstance(*entry, delta, isSync, now);
}

apply_result member_table::applyUnknown(const member_delta& delta, instant now)
{
    if (delta.health == member_health::Failed)
        return {};
    if (!delta.details)
        return { apply_outcome::DetailsMissing, nullptr, std::nullopt };
    if (!evictIfFull())
        return {};
    member_entry& entry = m_entries[delta.vm];
    entry.view.vm = delta.vm;
    entry.hash = nameHash(delta.vm);
    const auto place = std::lower_bound(m_ring.begin(), m_ring.end(), entry.hash,
        [](const member_entry* left, std::uint64_t hash) { return left->hash < hash; });
    m_ring.insert(place, &entry);
    const apply_result result = applyNewInstance(entry, delta, now);
    return { result.outcome, result.entry, std::nullopt, true, false };
}

apply_result member_table::applyNewInstance(member_entry& entry, const member_delta& delta, instant now)
{
    const bool wasListed = entry.view.instance.startMilliseconds == 0 && entry.view.instance.incarnation == delta.instance.incarnation;
    if (!delta.details && !wasListed && delta.health != member_health::Failed)
        return { apply_outcome::DetailsMissing, &entry, std::nullopt };
    const member_state previous = entry.view.state;
    if (delta.details)
        setDetails(entry.view, *delta.details);
    entry.view.instance = delta.instance;
    entry.view.values = {};
    entry.refutation = delta.refutation;
    entry.leaving = delta.leaving || (wasListed && entry.leaving);
    entry.isDetailed = delta.details.has_value();
    setHealth(entry, delta.health, now);
    return { apply_outcome::Changed, &entry, previous, true, wasListed };
}

apply_result member_table::applySameInstance(member_entry& entry, const member_delta& delta, bool isSync, instant now)
{
    const member_state previous = entry.view.state;
    const bool becomesLeaving = delta.leaving && !entry.leaving;
    member_delta effective = delta;
    if (isSync && delta.health == member_health::Failed && entry.health != member_health::Failed)
        effective.health = member_health::Suspect;
    const bool becomesNewer = isNewer(effective, entry);
    if (!becomesLeaving && !becomesNewer)
        return {};
    entry.leaving = entry.leaving || delta.leaving;
    if (becomesNewer)
        entry.refutation = effective.refutation;
    setHealth(entry, becomesNewer ? effective.health : entry.health, now);
    return { apply_outcome::Changed, &entry, previous };
}

void member_table::count(member_health health, bool isAdded)
{
    const std::size_t change = isAdded ? 1 : static_cast<std::size_t>(-1);
    switch (health) {
    case member_health::Alive:
        return;
    case member_health::Suspect:
        m_suspectCount += change;
        return;
    case member_health::Failed:
        m_failedCount += change;
        return;
    }
}

void member_table::setHealth(member_entry& entry, member_health health, instant now)
{
    count(entry.health, false);
    count(health, true);
    entry.health = health;
    entry.healthChangedAt = now;
    entry.view.state = stateOf(health, entry.leaving);
}

bool member_table::applyValues(const values_delta& values)
{
    member_entry* entry = find(values.vm);
    if (!entry || entry->view.instance != values.instance)
        return false;
    member_values& known = entry->view.values;
    const std::uint64_t position = std::max(known.cataloguePosition, values.values.cataloguePosition);
    const bool isNewer = values.values.revision > known.revision;
    if (isNewer)
        known = values.values;
    known.cataloguePosition = position;
    return isNewer;
}

bool member_table::applyReport(const position_report& report)
{
    if (report.members.empty())
        return false;
    std::vector<std::uint32_t> hashes = report.members;
    std::sort(hashes.begin(), hashes.end());
    bool isNew = false;
    for (member_entry* entry : m_ring) {
        std::uint64_t& position = entry->view.values.cataloguePosition;
        if (position >= report.position || !std::binary_search(hashes.begin(), hashes.end(), instanceHash(entry->view)))
            continue;
        position = report.position;
        isNew = true;
    }
    return isNew;
}

void member_table::forgetFailedBefore(instant limit)
{
    std::vector<std::string> forgotten;
    for (const std::pair<const std::string, member_entry>& item : m_entries) {
        if (item.second.health == member_health::Failed && item.second.healthChangedAt < limit)
            forgotten.push_back(item.first);
    }
    for (const std::string& vm : forgotten)
        erase(vm);
}

void member_table::delaySuspicions(duration gap)
{
    for (std::pair<const std::string, member_entry>& item : m_entries) {
        if (item.second.health == member_health::Suspect)
            item.second.healthChangedAt += gap;
    }
}

bool member_table::evictIfFull()
{
    if (m_entries.size() + 1 < m_maxMembers)
        return true;
    const member_entry* oldest = nullptr;
    for (const std::pair<const std::string, member_entry>& item : m_entries) {
        const member_entry& entry = item.second;
        if (entry.health == member_health::Failed && (!oldest || entry.healthChangedAt < oldest->healthChangedAt))
            oldest = &entry;
    }
    if (!oldest)
        return false;
    erase(oldest->view.vm);
    return true;
}

void member_table::erase(std::string_view vm)
{
    const auto it = m_entries.find(vm);
    count(it->second.health, false);
    m_ring.erase(std::remove(m_ring.begin(), m_ring.end(), &it->second), m_ring.end());
    m_entries.erase(it);
    ++m_erasures;
}

}
