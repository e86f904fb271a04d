#pragma once

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// What a replica says of itself in the platform's list.
struct replica_entry {
    std::string id;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// Start of the replica, Unix milliseconds. A replica that starts again under its id has a later one.
    std::int64_t startedAt = 0;
    /// Version of the weights of each model.
    std::map<std::string, std::uint64_t, std::less<>> weights;
};

/// How a request ended, as far as it tells about the replica.
enum class replica_outcome {
    Answered,
    /// The replica was full; it did not run the request.
    Full,
    /// No connection, a broken answer, or none in time.
    Failed,
    /// Ended by this process.
    Cancelled,
};

/// Which replicas may take a request.
struct replica_criteria {
    std::string_view service;
    std::span<const std::string> excluded {};
    /// With a model, the replica needs weights of at least this version.
    std::string_view model {};
    std::uint64_t minVersion = 0;
    /// Replicas with as many own requests get none.
    std::uint32_t maxInFlight = UINT32_MAX;
    /// Replica that is taken when it qualifies, such as the one that holds the prompt in its cache.
    std::string_view preferred {};
    /// Leaves out replicas whose streams are slow.
    bool isFastOnly = false;
};

/// Replicas of all services, and the requests of this process on them.
///
/// A replica that failed is left out for a while, twice as long after each further failure, and takes requests in
/// that time only when no other one qualifies. Among those that qualify, the one with the shortest expected time
/// wins: own requests times the usual latency; the own data centre goes first within a bound.
///
/// Of streams the time between two events tells more than the latency, which depends on their lengths. A replica
/// whose events come much later than those of the others counts as slow until its events come in time again, or until
/// it had no stream for a while.
class replica_pool {
public:
    struct replica {
        replica_entry entry;
        std::uint32_t inFlight = 0;
        std::uint32_t failures = 0;
        instant suspectUntil {};
        instant fullUntil {};
        /// Set while a replica that vanished from the list during an outage of the list may come back.
        std::optional<instant> vanishedAt;
        /// Smoothed latency of answers, in seconds; 0 before the first one.
        double latency = 0;
        /// Rejections in a row of a replica that was full or loaded weights.
        std::uint32_t rejections = 0;
        /// Smoothed time between two events of a stream, in seconds; 0 before the first one.
        double eventInterval = 0;
        instant eventAt {};
    };

    explicit replica_pool(std::string dataCentre);

    void update(const replica_entry& entry);
    void remove(std::string_view id);
    /// Keeps the replica as a last resort until it is confirmed or removed.
    void markVanished(std::string_view id, instant now);
    /// Removes the replicas that vanished before \a limit.
    void removeVanishedBefore(instant limit);
    /// Takes the version that an answer named.
    void noteVersion(std::string_view id, std::string_view model, std::uint64_t version);

    /// Notes an event of a stream, \a interval after the one before it.
    void noteEvent(std::string_view id, duration interval, instant now);
    /// Compares the replicas of each service anew; to be called every now and then.
    void compareIntervals(instant now);
    /// Whether the streams of the replica are much slower than those of the others of its service.
    bool isSlow(const replica& replica, instant now) const;
    /// Usual time between two events at the replicas of \a service, in seconds; 0 when it is not known.
    double usualInterval(std::string_view service) const;

    const replica* find(std::string_view id) const;
    const std::map<std::string, replica, std::less<>>& replicas() const { return m_replicas; }

    /// Replica for a request, or null when none qualifies.
    const replica* pick(const replica_criteria& criteria, instant now) const;
    void started(std::string_view id);
    void finished(std::string_view id, replica_outcome outcome, duration latency, instant now);

private:
    struct rank;
    bool qualifies(const replica& replica, const replica_criteria& criteria, instant now) const;
    rank rankOf(const replica& replica, instant now) const;

    std::string m_dataCentre;
    std::map<std::string, replica, std::less<>> m_replicas;
    std::map<std::string, double, std::less<>> m_usualIntervals;
};

}
