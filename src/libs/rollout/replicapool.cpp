#include "replicapool.h"

#include <algorithm>
#include <tuple>

namespace ragwortreach {

namespace {

    constexpr duration firstSuspicion = std::chrono::milliseconds(500);
    constexpr std::uint32_t maxSuspicionDoublings = 4;
    /// A full replica has room again soon; one that loads weights takes nothing for about a second.
    constexpr duration fullPause = std::chrono::milliseconds(50);
    constexpr std::uint32_t maxFullDoublings = 2;
    /// Weight of the newest latency in the smoothed one.
    constexpr double latencyGain = 0.2;
    /// Latency that is assumed before the first answer, in seconds.
    constexpr double initialLatency = 0.02;
    /// Expected time by which a replica of another data centre has to be better; bytes between data centres cost.
    constexpr double remoteFactor = 3;
    /// Of streams the bytes cost little against the time.
    constexpr double remoteStreamFactor = 1.1;
    /// Weight of the newest interval in the smoothed one; many streams of a replica bring samples.
    constexpr double intervalGain = 0.05;
    /// One pause, as for a load of weights, counts as no more than so many usual intervals.
    constexpr double maxIntervalFactor = 4;
    /// A replica is slow when its interval is so many times the usual one of its service.
    constexpr double slowFactor = 1.8;
    /// A replica without an event for so long is tried again.
    constexpr duration intervalMemory = std::chrono::milliseconds(2000);

}

/// Smaller is better.
struct replica_pool::rank {
    bool isLastResort = false;
    bool isSlow = false;
    double expectedTime = 0;

    bool operator<(const rank& other) const
    {
        return std::tie(isLastResort, isSlow, expectedTime) < std::tie(other.isLastResort, other.isSlow, other.expectedTime);
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

void replica_pool::noteEvent(std::string_view id, duration interval, instant now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    replica& replica = found->second;
    double seconds = std::chrono::duration<double>(interval).count();
    const double usual = usualInterval(replica.entry.service);
    if (usual > 0)
        seconds = std::min(seconds, usual * maxIntervalFactor);
    replica.eventInterval = replica.eventInterval > 0 ? replica.eventInterval + intervalGain * (seconds - replica.eventInterval) : seconds;
    replica.eventAt = now;
}

void replica_pool::compareIntervals(instant now)
{
    std::map<std::string, std::vector<double>, std::less<>> intervals;
    for (const std::pair<const std::string, replica>& item : m_replicas) {
        if (item.second.eventInterval > 0 && now - item.second.eventAt < intervalMemory)
            intervals[item.second.entry.service].push_back(item.second.eventInterval);
    }
    for (std::pair<const std::string, std::vector<double>>& item : intervals) {
        std::vector<double>& all = item.second;
        const std::vector<double>::difference_type middle = static_cast<std::vector<double>::difference_type>(all.size() / 2);
        std::nth_element(all.begin(), all.begin() + middle, all.end());
        m_usualIntervals[item.first] = all[static_cast<std::size_t>(middle)];
    }
}

bool replica_pool::isSlow(const replica& replica, instant now) const
{
    const double usual = usualInterval(replica.entry.service);
    return usual > 0 && now - replica.eventAt < intervalMemory && replica.eventInterval > usual * slowFactor;
}

double replica_pool::usualInterval(std::string_view service) const
{
    const auto found = m_usualIntervals.find(service);
    return found == m_usualIntervals.end() ? 0 : found->second;
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
    if (criteria.isFastOnly && (isSlow(replica, now) || replica.suspectUntil > now))
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
    result.isSlow = isSlow(replica, now);
    const bool isRemote = replica.entry.dataCentre != m_dataCentre;
    if (replica.eventInterval > 0) {
        result.expectedTime = replica.eventInterval * (replica.inFlight + 1) * (isRemote ? remoteStreamFactor : 1);
        return result;
    }
    const double latency = replica.latency > 0 ? replica.latency : initialLatency;
    result.expectedTime = latency * (replica.inFlight + 1) * (isRemote ? remoteFactor : 1);
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
        if (item.first == criteria.preferred && !candidateRank.isLastResort && !candidateRank.isSlow)
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
        replica.rejections = 0;
        replica.suspectUntil = {};
        return;
    }
    case replica_outcome::Full:
        replica.fullUntil = now + fullPause * (1U << std::min(replica.rejections, maxFullDoublings));
        ++replica.rejections;
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
