#pragma once

#include "weightversion.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortreach {

enum class replica_state {
    Live,
    /// Being removed; never gets new calls.
    Leaving,
    /// Failed recently; gets calls only when no live replica can take them.
    Suspect,
};

/// Replica of one upstream as listed in the VM list.
struct replica_listing {
    std::string vm;
    replica_state state = replica_state::Live;
};

/// State of a replica as the router knows it.
struct replica_status {
    std::string vm;
    replica_state state = replica_state::Live;
    /// Calls of this process in flight.
    std::uint32_t inFlight = 0;
    /// Estimate of the calls of all processes in flight.
    std::uint32_t load = 0;
    std::optional<weight_version> weights;
};

/// Requirements on the replica for one call.
struct route_request {
    /// Calls with the same key share a prompt prefix and preferably run at one replica; empty for a call without a group.
    std::optional<std::uint64_t> groupKey;
    /// VMs that must not be chosen, such as those that were tried already.
    std::span<const std::string> excluded;
    /// If set, replicas whose weights are more than maxVersionsBehind versions behind it, or not known, are not chosen.
    std::optional<weight_version> trainerVersion;
    std::uint64_t maxVersionsBehind = 0;
};

/// Largest number of replicas of one upstream that one process uses.
inline constexpr std::size_t defaultReplicaSubset = 24;
/// Ratio of the load of a replica to the mean load up to which it gets calls.
inline constexpr double replicaLoadBound = 1.25;
/// Ratio of the own calls in flight at a replica to their mean up to which a group stays there. Unlike the reported load,
/// the number of own calls has no lag.
inline constexpr double groupOwnCallsBound = 2;
/// Largest number of groups whose replica is remembered; the oldest are forgotten first.
inline constexpr std::size_t maxRememberedGroups = 4096;

/// Chooses the replica of one upstream for each call.
///
/// Only replicas within the load bound are chosen. Of those with the fewest own calls in flight two are drawn at random,
/// and the less loaded one gets the call. Calls with a group key stay at the replica of the previous call of the group
/// while it is within both bounds; otherwise the group moves. The load is the latest report of the replica, which lags,
/// corrected by the own calls started and finished since.
class replica_router {
public:
    /// \a vm is the VM of this process. It determines the subset of replicas and, together with \a seed, the random numbers.
    replica_router(std::string vm, std::uint64_t seed, std::size_t subset = defaultReplicaSubset);

    /// Sets the replicas from the VM list. The state of replicas that stay in the subset is kept.
    void setReplicas(std::span<const replica_listing> replicas);
    /// Marks a replica as suspect or as live again; a leaving replica stays leaving.
    void setSuspect(std::string_view vm, bool suspect);
    /// Sets the numbers of calls of all processes that run and wait at the replica, from its latest report.
    void reportLoad(std::string_view vm, std::uint32_t running, std::uint32_t waiting);
    void reportWeights(std::string_view vm, const weight_version& weights);

    /// VM of the replica for a call; empty when no replica may take it. started() has to be called when the call is sent,
    /// and finished() when it ends.
    std::optional<std::string> pick(const route_request& request);
    void started(std::string_view vm);
    void finished(std::string_view vm);

    std::vector<replica_status> replicas() const;
    /// Calls of this process in flight at all replicas.
    std::uint32_t inFlight() const;

private:
    struct replica {
        std::string vm;
        replica_state listedState = replica_state::Live;
        bool suspect = false;
        std::uint32_t inFlight = 0;
        std::uint32_t reportedLoad = 0;
        std::uint32_t inFlightAtReport = 0;
        std::optional<weight_version> weights;

        replica_state state() const;
        std::uint32_t load() const;
    };

    replica* find(std::string_view vm);
    /// Replicas in \a state that meet the requirements of \a request.
    std::vector<const replica*> candidates(const route_request& request, replica_state state) const;
    static std::vector<const replica*> withinLoadBound(const std::vector<const replica*>& candidates);
    const replica* pickForGroup(const std::vector<const replica*>& candidates, std::uint64_t groupKey);
    void rememberGroup(std::uint64_t groupKey, const std::string& vm);
    const replica* pickLeastLoaded(const std::vector<const replica*>& candidates);
    const replica* pickLessLoadedOfTwo(const std::vector<const replica*>& candidates);
    std::uint64_t random();

    std::string m_vm;
    std::uint64_t m_randomState;
    std::size_t m_subset;
    std::vector<replica> m_replicas;
    /// VM of each group, and the group keys in the order of their first calls.
    std::unordered_map<std::uint64_t, std::string> m_groups;
    std::deque<std::uint64_t> m_groupOrder;
};

}
