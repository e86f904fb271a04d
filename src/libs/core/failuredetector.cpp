#include "failuredetector.h"

#include <algorithm>
#include <utility>

namespace ragwortreach::Internal {

namespace {

    constexpr std::size_t maxProbes = 32;
    constexpr std::size_t maxExtraProbes = 8;
    constexpr std::size_t extraProbesPerFailure = 2;
    constexpr std::size_t maxRelayedProbes = 128;

    std::optional<probe_target> toTarget(const member_entry* entry, bool isRandom)
    {
        return entry ? std::optional(probe_target { entry, isRandom }) : std::nullopt;
    }

}

failure_detector::failure_detector(std::string_view localVm, probe_times times, std::uint64_t seed)
    : m_localHash(nameHash(localVm))
    , m_times(times)
    , m_random(seed)
{
}

std::optional<probe_target> failure_detector::next(const member_table& table, instant now)
{
    if (!m_nextProbe)
        m_nextProbe = now + duration(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_times.period.count())));
    if (m_probes.size() >= maxProbes)
        return std::nullopt;
    if (now < *m_nextProbe) {
        if (m_extraProbes == 0)
            return std::nullopt;
        --m_extraProbes;
        return toTarget(randomMember(table), true);
    }
    *m_nextProbe += m_times.period;
    if (*m_nextProbe <= now)
        m_nextProbe = now + m_times.period;
    m_isRingTurn = !m_isRingTurn;
    return m_isRingTurn ? toTarget(ringSuccessor(table), false) : toTarget(randomMember(table), true);
}

const member_entry* failure_detector::ringSuccessor(const member_table& table) const
{
    const std::vector<member_entry*>& ring = table.ring();
    const auto start = std::upper_bound(ring.begin(), ring.end(), m_localHash,
        [](std::uint64_t hash, const member_entry* entry) { return hash < entry->hash; });
    const std::size_t first = static_cast<std::size_t>(start - ring.begin());
    for (std::size_t step = 0; step < ring.size(); ++step) {
        const member_entry* entry = ring[(first + step) % ring.size()];
        if (entry->health == member_health::Alive && !isBeingProbed(*entry))
            return entry;
    }
    return nullptr;
}

const member_entry* failure_detector::randomMember(const member_table& table)
{
    if (m_randomOrderErasures != table.erasures()) {
        m_randomOrder.clear();
        m_randomOrderErasures = table.erasures();
    }
    if (m_randomOrder.empty()) {
        m_randomOrder.assign(table.ring().begin(), table.ring().end());
        std::shuffle(m_randomOrder.begin(), m_randomOrder.end(), m_random);
    }
    while (!m_randomOrder.empty()) {
        const member_entry* entry = m_randomOrder.back();
        m_randomOrder.pop_back();
        if (entry->health == member_health::Alive && !isBeingProbed(*entry))
            return entry;
    }
    return nullptr;
}

bool failure_detector::isBeingProbed(const member_entry& entry) const
{
    return std::any_of(m_probes.begin(), m_probes.end(),
        [&entry](const probe& item) { return item.vm == entry.view.vm; });
}

std::uint64_t failure_detector::begin(const member_entry& target, instant now)
{
    m_probes.push_back({ ++m_lastSequence, target.view.vm, target.view.instance, now, false });
    return m_lastSequence;
}

std::uint64_t failure_detector::relay(std::string requesterAddress, std::uint64_t requesterSequence, instant now)
{
    if (m_relayed.size() >= maxRelayedProbes)
        m_relayed.erase(m_relayed.begin());
    m_relayed.push_back({ ++m_lastSequence, std::move(requesterAddress), requesterSequence, now });
    return m_lastSequence;
}

std::optional<relayed_probe> failure_detector::acknowledge(std::uint64_t sequence, std::string_view vm)
{
    std::erase_if(m_probes, [sequence, vm](const probe& item) { return item.sequence == sequence && item.vm == vm; });
    const auto it = std::find_if(m_relayed.begin(), m_relayed.end(),
        [sequence](const relayed_probe& item) { return item.sequence == sequence; });
    if (it == m_relayed.end())
        return std::nullopt;
    relayed_probe relayed = std::move(*it);
    m_relayed.erase(it);
    return relayed;
}

std::vector<probe> failure_detector::takeUnanswered(instant now)
{
    std::vector<probe> unanswered;
    for (probe& item : m_probes) {
        if (item.isIndirect || now - item.startedAt < m_times.directTimeout)
            continue;
        item.isIndirect = true;
        unanswered.push_back(item);
    }
    return unanswered;
}

std::vector<probe> failure_detector::takeFailed(instant now)
{
    const duration timeout = m_times.probeTimeout;
    const auto firstFailed = std::stable_partition(m_probes.begin(), m_probes.end(),
        [now, timeout](const probe& item) { return now - item.startedAt < timeout; });
    std::vector<probe> failed(firstFailed, m_probes.end());
    m_probes.erase(firstFailed, m_probes.end());
    std::erase_if(m_relayed, [now, timeout](const relayed_probe& item) { return now - item.startedAt >= timeout; });
    m_extraProbes = std::min(maxExtraProbes, m_extraProbes + extraProbesPerFailure * failed.size());
    return failed;
}

void failure_detector::reset()
{
    m_probes.clear();
    m_relayed.clear();
    m_extraProbes = 0;
}

}
