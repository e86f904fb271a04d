#pragma once

#include "limittable.h"
#include "replicaleaving.h"

#include <core/instant.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Entry of a replica in the platform's list, as the replica writes it.
struct replica_entry {
    std::string id;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// Start time of the replica in Unix milliseconds. A replica that restarts under its id has a later one.
    std::int64_t startedAt = 0;
    /// Grows with each entry that the replica writes, and starts anew with the replica.
    std::uint64_t number = 0;
    /// Version of the replica's software; empty when it is unknown. Versions have no order.
    std::string software;
    /// Version of the weights of each model.
    std::map<std::string, std::uint64_t, std::less<>> weights;
    /// Whether the platform may reclaim the replica at any time.
    bool isSpot = false;
    /// Time that is left to a draining replica, as of the entry; empty when the replica does not say so.
    std::optional<duration> leavesIn {};
};

/// Outcome of a request as it bears on the health of the replica.
enum class replica_outcome {
    Answered,
    /// The replica was full; it did not run the request.
    Full,
    /// No connection, a truncated or wrong answer, or none in time.
    Failed,
    /// This process ended the request.
    Cancelled,
};

/// Requirements of a request on the replica.
struct replica_criteria {
    std::string_view service;
    std::span<const std::string> excluded {};
    /// When set, the replica needs weights of this model, of version \a minVersion at least.
    std::string_view model {};
    std::uint64_t minVersion = 0;
    /// When set, the replica needs this version of its software.
    std::string_view software {};
    /// Replicas with at least this many requests of this process are left out.
    std::uint32_t maxInFlight = UINT32_MAX;
    /// Replica that is chosen if it qualifies, such as the one with the prompt in its cache.
    std::string_view preferred {};
    /// Leaves out replicas that are slow or that failed recently.
    bool isFastOnly = false;
    /// Limited replica for which the request has a permit. Other limited replicas are left out, unless \a usesPermits.
    std::string_view permitted {};
    /// Whether limited replicas qualify for which addPermit() left a permit.
    bool usesPermits = false;
};

/// Replicas for which a scheduler wants a permit: limited ones that would take its work.
struct permit_want {
    std::string service;
    std::string model;
    std::uint64_t minVersion = 0;
    std::string software;
    std::uint32_t maxInFlight = UINT32_MAX;

    bool operator<(const permit_want& other) const
    {
        return std::tie(service, model, minVersion, software, maxInFlight)
            < std::tie(other.service, other.model, other.minVersion, other.software, other.maxInFlight);
    }
    replica_criteria criteria() const;
};

/// Replicas of all services, and the requests of this process on them.
///
/// A replica that failed is a last resort for a time that doubles with each further failure: it gets requests only when
/// no other replica qualifies. Among the replicas that qualify, the one with the shortest expected time is chosen: the
/// number of requests of this process times the usual latency. A replica of another data centre has to be faster by a
/// factor than those of the own one.
///
/// For streams, the time between two events is used instead of the latency, which depends on the lengths of the
/// streams. A replica whose intervals are much longer than those of the others counts as slow until its intervals are
/// normal again or until it had no events for a while.
class replica_pool {
public:
    struct replica {
        replica_entry entry;
        std::uint32_t inFlight = 0;
        std::uint32_t failures = 0;
        instant suspectUntil {};
        instant fullUntil {};
        /// The replica announced in an answer that it is leaving, whatever the list says.
        bool hasAnnouncedLeaving = false;
        /// Until then it is not certain that the entry, which was listed again, is not an old one.
        instant unconfirmedUntil {};
        /// Set when the replica vanished from the list during an outage of the list; it may reappear.
        std::optional<instant> vanishedAt;
        /// Smoothed latency of answers, in seconds; 0 before the first one.
        double latency = 0;
        /// Number of consecutive rejections because the replica was full or loaded weights.
        std::uint32_t rejections = 0;
        /// Smoothed time between two events of a stream, in seconds; 0 before the first one.
        double eventInterval = 0;
        /// Time of the last event.
        instant eventAt {};
        /// Requests of this process on the replica under which other replicas ended.
        std::uint32_t trials = 0;
        /// Ends of the permits for requests of the schedulers, the earliest first.
        std::deque<instant> permits;

        replica_instance instance() const { return { entry.id, entry.startedAt }; }
        /// Whether the replica takes no new requests.
        bool isLeaving() const { return entry.isDraining || hasAnnouncedLeaving; }
    };

    /// \a dataCentre is the one of this process, whose replicas are preferred.
    explicit replica_pool(std::string dataCentre);

    /// Adds the replica or replaces its entry.
    void update(const replica_entry& entry);
    void remove(std::string_view id);
    /// Keeps the replica as a last resort until it is confirmed or removed.
    void markVanished(std::string_view id, instant now);
    /// Keeps a replica that was listed again as a last resort until \a time.
    void setUnconfirmed(std::string_view id, instant time);
    /// Removes the replicas that vanished before \a limit; \return their ids.
    std::vector<std::string> removeVanishedBefore(instant limit);
    /// Notes the version of a model's weights that an answer named.
    void noteVersion(std::string_view id, std::string_view model, std::uint64_t version);

    /// Time for which a replica that is not listed, and that announced its leaving, is remembered.
    static constexpr duration leavingRetention = std::chrono::minutes(10);
    static constexpr std::size_t maxLeaving = 4096;

    /// Notes that a replica announced its leaving; it is final for this instance. Returns whether it is news.
    bool noteLeaving(const replica_leaving& leaving);
    /// Replicas that announced their leaving.
    std::vector<replica_leaving> leaving() const;
    void forgetOldLeaving(instant now);
    /// Number of times that a replica was passed over only because it had announced its leaving.
    std::uint64_t keptAway() const { return m_keptAway; }

    /// Notes an event of a stream, \a interval after the one before it.
    void noteEvent(std::string_view id, duration interval, instant now);
    /// Updates the usual interval of each service; to be called periodically.
    void compareIntervals(instant now);
    /// Whether the streams of the replica are much slower than those of the others of its service.
    bool isSlow(const replica& replica, instant now) const;
    /// Median time between two events at the replicas of \a service, in seconds; 0 while it is unknown.
    double usualInterval(std::string_view service) const;

    /// Longest usual time of a request among the replicas of \a service; zero while none is known.
    duration usualLatency(std::string_view service) const;

    const replica* find(std::string_view id) const;
    /// Instance of the replica \a id that is listed now.
    replica_instance instanceOf(const std::string& id) const;
    const std::map<std::string, replica, std::less<>>& replicas() const { return m_replicas; }
    /// Grows whenever a replica is added or removed, or has another service or software version.
    std::uint64_t listingRevision() const { return m_listingRevision; }

    /// Best replica for a request, or null when none qualifies.
    const replica* pick(const replica_criteria& criteria, instant now) const;
    /// As pick(), without the \a excluded replicas, which are admitted again when no other one qualifies. Wants a permit when the
    /// best replica is one of last resort, or none qualifies.
    const replica* pickOrWantPermit(replica_criteria criteria, std::vector<std::string>& excluded, instant now);
    /// Whether a replica of \a service with this version of the software takes requests, now or after others have ended.
    bool isInUse(std::string_view service, std::string_view software) const;
    /// Whether the replica should get requests only when no other one takes them: it failed a short time
    /// ago, vanished, or runs a request under which others ended.
    bool isLastResort(const replica& replica, instant now) const;
    /// Limited replicas that would qualify with a permit, the best first. Last resorts are left out if there are others.
    std::vector<replica_instance> limitedReplicas(const replica_criteria& criteria, instant now) const;
    limit_table& limits() { return m_limits; }
    const limit_table& limits() const { return m_limits; }
    /// Notes that a scheduler found no replica for its work, if limited ones would take it.
    void wantPermit(const replica_criteria& criteria, instant now);
    std::set<permit_want> takeWants() { return std::exchange(m_wants, {}); }
    /// Adds a permit for one request of a scheduler, to be used before \a until.
    void addPermit(std::string_view id, instant until);

    /// Notes that \a ended has ended without a word at \a at. It is a last resort until it is listed anew or some time has passed.
    void noteCrash(const replica_instance& ended, instant at);
    /// Whether \a service can do without one more replica: two are sound, or none has ended for a while.
    bool canLoseOne(std::string_view service, instant now) const;
    /// Notes the begin and the end of a request under which other replicas ended. Meanwhile the replica is a last resort.
    void beginTrial(std::string_view id);
    void endTrial(std::string_view id);

    /// Notes that a request was sent to the replica. With \a usesPermit it takes one of those that addPermit() left.
    void started(std::string_view id, bool usesPermit = false);
    /// Notes the end of a request. \a latency is used with Answered only.
    void finished(std::string_view id, replica_outcome outcome, duration latency, instant now);

private:
    struct rank;
    bool qualifies(const replica& replica, const replica_criteria& criteria, instant now) const;
    bool mayStart(const replica& replica, const replica_criteria& criteria, instant now) const;
    rank rankOf(const replica& replica, instant now) const;

    std::string m_dataCentre;
    std::map<std::string, replica, std::less<>> m_replicas;
    std::uint64_t m_listingRevision = 0;
    std::map<std::string, double, std::less<>> m_usualIntervals;
    limit_table m_limits;
    std::set<permit_want> m_wants;
    /// Times at which instances announced their leaving.
    std::map<replica_instance, instant> m_leaving;
    mutable std::uint64_t m_keptAway = 0;
    /// Time at which a replica of each service ended.
    std::map<std::string, instant, std::less<>> m_crashedAt;
};

}
