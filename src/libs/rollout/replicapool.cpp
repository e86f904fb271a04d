#include "replicapool.h"

#include <algorithm>
#include <tuple>

namespace ragwortreach {

namespace {

    constexpr duration firstSuspicion = std::chrono::milliseconds(500);
    constexpr std::uint32_t maxSuspicionDoublings = 4;
    constexpr duration fullPause = std::chrono::milliseconds(50);
    /// Weight of the newest latency in the smoothed one.
    constexpr double latencyGain = 0.2;
    /// Latency that is assumed before the first answer, in seconds.
    constexpr double initialLatency = 0.02;
    /// Expected time by which a replica of another data centre has to be better; bytes between data centres cost.
    constexpr double remoteFactor = 3;

}

/// Smaller is better.
struct replica_pool::rank {
    bool isLastResort = false;
    double expectedTime = 0;

    bool operator<(const rank& other) const
    {
        return std::tie(isLastResort, expectedTime) < std::tie(other.isLastResort, other.expectedTime);
    }
};

replica_pool::replica_pool(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void replica_pool::update(const replica_entry& entry)
{
    replica& known = m_replicas[entry.id];
    const bool isNewLife = known.entry.startedAt != entry.startedAt || known.entry.address != entry.address;
    if (isNewLife && !known.entry.id.empty()) {
        const std::uint32_t inFlight = known.inFlight;
        known = {};
        known.inFlight = inFlight;
    }
    replica_entry next = entry;
    if (!isNewLife) {
        // Entries lag behind what the replica told this process itself.
        for (const std::pair<const std::string, std::uint64_t>& version : known.entry.weights) {
            std::uint64_t& listed = next.weights[version.first];
            listed = std::max(listed, version.second);
        }
    }
    known.entry = std::move(next);
    known.vanishedAt.reset();
}

void replica_pool::remove(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        m_replicas.erase(found);
}

void replica_pool::markVanished(std::string_view id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end() && !found->second.vanishedAt)
        found->second.vanishedAt = now;
}

void replica_pool::removeVanishedBefore(instant limit)
{
    std::erase_if(m_replicas, [limit](const std::pair<const std::string, replica>& item) {
        return item.second.vanishedAt && *item.second.vanishedAt < limit;
    });
}

void replica_pool::noteVersion(std::string_view id, std::string_view model, std::uint64_t version)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    std::uint64_t& known = found->second.entry.weights[std::string(model)];
    known = std::max(known, version);
}

const replica_pool::replica* replica_pool::find(std::string_view id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

bool replica_pool::qualifies(const replica& replica, const replica_criteria& criteria, instant now) const
{
    if (replica.entry.service != criteria.service || replica.entry.isDraining)
        return false;
    if (replica.inFlight >= criteria.maxInFlight || replica.fullUntil > now)
        return false;
    if (std::find(criteria.excluded.begin(), criteria.excluded.end(), replica.entry.id) != criteria.excluded.end())
        return false;
    if (criteria.model.empty())
        return true;
    const auto version = replica.entry.weights.find(criteria.model);
    return version != replica.entry.weights.end() && version->second >= criteria.minVersion;
}

replica_pool::rank replica_pool::rankOf(const replica& replica, instant now) const
{
    rank result;
    result.isLastResort = replica.suspectUntil > now || replica.vanishedAt.has_value();
    const double latency = replica.latency > 0 ? replica.latency : initialLatency;
    result.expectedTime = latency * (replica.inFlight + 1);
    if (replica.entry.dataCentre != m_dataCentre)
        result.expectedTime *= remoteFactor;
    return result;
}

const replica_pool::replica* replica_pool::pick(const replica_criteria& criteria, instant now) const
{
    const replica* best = nullptr;
    rank bestRank;
    for (const std::pair<const std::string, replica>& item : m_replicas) {
        const replica& candidate = item.second;
        if (!qualifies(candidate, criteria, now))
            continue;
        const rank candidateRank = rankOf(candidate, now);
        if (item.first == criteria.preferred && !candidateRank.isLastResort)
            return &candidate;
        if (best && !(candidateRank < bestRank))
            continue;
        best = &candidate;
        bestRank = candidateRank;
    }
    return best;
}

void replica_pool::started(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        ++found->second.inFlight;
}

void replica_pool::finished(std::string_view id, replica_outcome outcome, duration latency, instant now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    replica& replica = found->second;
    if (replica.inFlight > 0)
        --replica.inFlight;
    switch (outcome) {
    case replica_outcome::Answered: {
        const double seconds = std::chrono::duration<double>(latency).count();
        replica.latency = replica.latency > 0 ? replica.latency + latencyGain * (seconds - replica.latency) : seconds;
        replica.failures = 0;
        replica.suspectUntil = {};
        return;
    }
    case replica_outcome::Full:
        replica.fullUntil = now + fullPause;
        return;
    case replica_outcome::Failed:
        replica.suspectUntil = now + firstSuspicion * (1U << std::min(replica.failures, maxSuspicionDoublings));
        ++replica.failures;
        return;
    case replica_outcome::Cancelled:
        return;
    }
}

}
