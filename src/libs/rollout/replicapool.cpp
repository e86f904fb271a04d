#include "replicapool.h"

#include <algorithm>
#include <tuple>

namespace ragwortreach {

namespace {

    /// Time during which a replica is a last resort after its first failure; it doubles with each further one.
    constexpr duration firstSuspectTime = std::chrono::milliseconds(500);
    constexpr std::uint32_t maxSuspectDoublings = 4;
    /// Time without requests after a rejection; it doubles with each further one. A full replica has free slots again
    /// soon, but one that loads weights accepts nothing for about a second.
    constexpr duration fullPause = std::chrono::milliseconds(50);
    constexpr std::uint32_t maxFullDoublings = 2;
    /// Weight of the newest latency in the moving average.
    constexpr double latencyGain = 0.2;
    /// Latency assumed before the first answer, in seconds.
    constexpr double initialLatency = 0.02;
    /// Factor by which a replica of another data centre has to be faster, since traffic between data centres is costly.
    constexpr double remoteFactor = 3;
    /// The same factor for streams, whose traffic costs little compared with their duration.
    constexpr double remoteStreamFactor = 1.1;
    /// Weight of the newest interval in the moving average; it is small since all streams of a replica contribute.
    constexpr double intervalGain = 0.05;
    /// An interval counts as at most this many usual intervals, so that a single pause, such as a load of weights, does
    /// not make the replica slow.
    constexpr double maxIntervalFactor = 4;
    /// A replica is slow when its interval exceeds the usual one of its service by this factor.
    constexpr double slowFactor = 1.8;
    constexpr std::size_t maxPermits = 8;
    /// Time during which a replica that ended is a last resort.
    constexpr duration crashTime = std::chrono::seconds(2);
    /// Time without a crash after which a service with a single sound replica may lose it.
    constexpr duration calmTime = std::chrono::seconds(5);
    /// The interval of a replica is ignored after this time without an event, so that a slow replica is tried again.
    constexpr duration intervalRetention = std::chrono::milliseconds(2000);

}

/// Preference among the replicas that qualify; smaller is better.
struct replica_pool::rank {
    bool isLastResort = false;
    bool isSlow = false;
    double expectedTime = 0;

    bool operator<(const rank& other) const
    {
        return std::tie(isLastResort, isSlow, expectedTime) < std::tie(other.isLastResort, other.isSlow, other.expectedTime);
    }
};

replica_criteria permit_want::criteria() const
{
    replica_criteria result;
    result.service = service;
    result.model = model;
    result.minVersion = minVersion;
    result.software = software;
    result.maxInFlight = maxInFlight;
    return result;
}

replica_pool::replica_pool(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void replica_pool::update(const replica_entry& entry)
{
    replica& known = m_replicas[entry.id];
    if (known.entry.id.empty() || known.entry.service != entry.service || known.entry.software != entry.software)
        ++m_listingRevision;
    const bool isNewInstance = known.entry.startedAt != entry.startedAt || known.entry.address != entry.address;
    if (isNewInstance && !known.entry.id.empty()) {
        const std::uint32_t inFlight = known.inFlight;
        const std::uint32_t trials = known.trials;
        known = {};
        known.inFlight = inFlight;
        known.trials = trials;
    }
    replica_entry next = entry;
    if (!isNewInstance) {
        // List entries may be older than the versions that the replica's answers named.
        for (const std::pair<const std::string, std::uint64_t>& version : known.entry.weights) {
            std::uint64_t& listed = next.weights[version.first];
            listed = std::max(listed, version.second);
        }
    }
    known.entry = std::move(next);
    known.hasAnnouncedLeaving = m_leaving.contains(known.instance());
    known.vanishedAt.reset();
}

void replica_pool::remove(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    m_replicas.erase(found);
    ++m_listingRevision;
}

void replica_pool::markVanished(std::string_view id, instant now)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end() && !found->second.vanishedAt)
        found->second.vanishedAt = now;
}

void replica_pool::setUnconfirmed(std::string_view id, instant time)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        found->second.unconfirmedUntil = time;
}

std::vector<std::string> replica_pool::removeVanishedBefore(instant limit)
{
    std::vector<std::string> removed;
    for (const std::pair<const std::string, replica>& item : m_replicas) {
        if (item.second.vanishedAt && *item.second.vanishedAt < limit)
            removed.push_back(item.first);
    }
    for (const std::string& id : removed)
        remove(id);
    return removed;
}

void replica_pool::noteVersion(std::string_view id, std::string_view model, std::uint64_t version)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    std::uint64_t& known = found->second.entry.weights[std::string(model)];
    known = std::max(known, version);
}

bool replica_pool::noteLeaving(const replica_leaving& leaving)
{
    if (m_leaving.size() >= maxLeaving || !m_leaving.emplace(leaving.replica, leaving.statedAt).second)
        return false;
    const auto found = m_replicas.find(leaving.replica.id);
    if (found != m_replicas.end() && found->second.instance() == leaving.replica)
        found->second.hasAnnouncedLeaving = true;
    return true;
}

std::vector<replica_leaving> replica_pool::leaving() const
{
    std::vector<replica_leaving> all;
    for (const std::pair<const replica_instance, instant>& item : m_leaving)
        all.push_back({ item.first, item.second });
    return all;
}

void replica_pool::forgetOldLeaving(instant now)
{
    std::erase_if(m_leaving, [this, now](const std::pair<const replica_instance, instant>& item) {
        const replica* const listed = find(item.first.id);
        return now - item.second > leavingRetention && !(listed && listed->instance() == item.first);
    });
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
        if (item.second.eventInterval > 0 && now - item.second.eventAt < intervalRetention)
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
    return usual > 0 && now - replica.eventAt < intervalRetention && replica.eventInterval > usual * slowFactor;
}

double replica_pool::usualInterval(std::string_view service) const
{
    const auto found = m_usualIntervals.find(service);
    return found == m_usualIntervals.end() ? 0 : found->second;
}

duration replica_pool::usualLatency(std::string_view service) const
{
    double longest = 0;
    for (const std::pair<const std::string, replica>& item : m_replicas) {
        if (item.second.entry.service == service)
            longest = std::max(longest, item.second.latency);
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(longest));
}

const replica_pool::replica* replica_pool::find(std::string_view id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

replica_instance replica_pool::instanceOf(const std::string& id) const
{
    const replica* const known = find(id);
    return known ? known->instance() : replica_instance { id, 0 };
}

bool replica_pool::qualifies(const replica& replica, const replica_criteria& criteria, instant now) const
{
    if (replica.entry.service != criteria.service || replica.entry.isDraining)
        return false;
    if (!criteria.software.empty() && replica.entry.software != criteria.software)
        return false;
    if (replica.hasAnnouncedLeaving) {
        ++m_keptAway;
        return false;
    }
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

/// Whether the limit of the replica, if it has one, lets the request start.
bool replica_pool::mayStart(const replica& replica, const replica_criteria& criteria, instant now) const
{
    if (!m_limits.rate(replica.instance(), now) || replica.entry.id == criteria.permitted)
        return true;
    return criteria.usesPermits && !replica.permits.empty() && replica.permits.back() > now;
}

const replica_pool::replica* replica_pool::pickOrWantPermit(replica_criteria criteria, std::vector<std::string>& excluded, instant now)
{
    criteria.excluded = excluded;
    const replica* best = pick(criteria, now);
    if (!best && !excluded.empty()) {
        excluded.clear();
        criteria.excluded = {};
        best = pick(criteria, now);
    }
    if (!best || isLastResort(*best, now))
        wantPermit(criteria, now);
    return best;
}

bool replica_pool::isInUse(std::string_view service, std::string_view software) const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(), [service, software](const std::pair<const std::string, replica>& item) {
        return item.second.entry.service == service && item.second.entry.software == software && !item.second.isLeaving();
    });
}

bool replica_pool::isLastResort(const replica& replica, instant now) const
{
    return replica.suspectUntil > now || replica.unconfirmedUntil > now || replica.vanishedAt.has_value() || replica.trials > 0;
}

replica_pool::rank replica_pool::rankOf(const replica& replica, instant now) const
{
    rank result;
    result.isLastResort = isLastResort(replica, now);
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
        if (!qualifies(candidate, criteria, now) || !mayStart(candidate, criteria, now))
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

std::vector<replica_instance> replica_pool::limitedReplicas(const replica_criteria& criteria, instant now) const
{
    std::multimap<rank, replica_instance> ranked;
    for (const std::pair<const std::string, replica>& item : m_replicas) {
        const replica& candidate = item.second;
        if (qualifies(candidate, criteria, now) && m_limits.rate(candidate.instance(), now))
            ranked.emplace(rankOf(candidate, now), candidate.instance());
    }
    std::vector<replica_instance> replicas;
    replicas.reserve(ranked.size());
    for (const std::pair<const rank, replica_instance>& item : ranked) {
        if (item.first.isLastResort == ranked.begin()->first.isLastResort)
            replicas.push_back(item.second);
    }
    return replicas;
}

void replica_pool::wantPermit(const replica_criteria& criteria, instant now)
{
    if (!limitedReplicas(criteria, now).empty())
        m_wants.insert({ std::string(criteria.service), std::string(criteria.model), criteria.minVersion, std::string(criteria.software), criteria.maxInFlight });
}

void replica_pool::addPermit(std::string_view id, instant until)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    found->second.permits.push_back(until);
    if (found->second.permits.size() > maxPermits)
        found->second.permits.pop_front();
}

void replica_pool::noteCrash(const replica_instance& ended, instant at)
{
    const auto found = m_replicas.find(ended.id);
    if (found == m_replicas.end() || found->second.instance() != ended)
        return;
    found->second.suspectUntil = std::max(found->second.suspectUntil, at + crashTime);
    instant& crashedAt = m_crashedAt[found->second.entry.service];
    crashedAt = std::max(crashedAt, at);
}

bool replica_pool::canLoseOne(std::string_view service, instant now) const
{
    const auto crashed = m_crashedAt.find(service);
    if (crashed == m_crashedAt.end() || now - crashed->second > calmTime)
        return true;
    const auto isSound = [this, service, now](const std::pair<const std::string, replica>& item) {
        return item.second.entry.service == service && !item.second.isLeaving() && !isLastResort(item.second, now);
    };
    return std::count_if(m_replicas.begin(), m_replicas.end(), isSound) >= 2;
}

void replica_pool::beginTrial(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end())
        ++found->second.trials;
}

void replica_pool::endTrial(std::string_view id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end() && found->second.trials > 0)
        --found->second.trials;
}

void replica_pool::started(std::string_view id, bool usesPermit)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    replica& replica = found->second;
    ++replica.inFlight;
    if (usesPermit && !replica.permits.empty())
        replica.permits.pop_back();
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
        replica.suspectUntil = now + firstSuspectTime * (1U << std::min(replica.failures, maxSuspectDoublings));
        ++replica.failures;
        return;
    case replica_outcome::Cancelled:
        return;
    }
}

}
