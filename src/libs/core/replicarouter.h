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
    /// Gets nothing new, ever.
    Leaving,
    /// Failed of late; gets work only when no live replica is left.
    Suspect,
};

/// Replica of one upstream, as the VM list names it.
struct replica_listing {
    std::string vm;
    replica_state state = replica_state::Live;
};

/// What the router knows of a replica.
struct replica_status {
    std::string vm;
    replica_state state = replica_state::Live;
    /// Calls of this process that are under way.
    std::uint32_t inFlight = 0;
    /// Estimate of the calls of all processes that are under way.
    std::uint32_t load = 0;
    std::optional<weight_version> weights;
};

/// What is asked of the replica for one call.
struct route_request {
    /// Calls with the same key share a prompt prefix and go to one replica; empty for none.
    std::optional<std::uint64_t> groupKey;
    /// Replicas that were tried already.
    std::span<const std::string> excluded;
    /// With a version, replicas that report weights more than maxVersionsBehind behind it, or none, get nothing.
    std::optional<weight_version> trainerVersion;
    std::uint64_t maxVersionsBehind = 0;
};

/// Largest number of replicas that one process uses of one upstream.
inline constexpr std::size_t defaultReplicaSubset = 24;
/// Load of a replica over the mean load up to which it gets calls.
inline constexpr double replicaLoadBound = 1.25;
/// Own calls on a replica over their mean up to which a group stays on it. The own calls are known without a lag.
inline constexpr double groupOwnCallsBound = 2;
/// Largest number of groups whose replica is remembered.
inline constexpr std::size_t maxRememberedGroups = 4096;

/// Chooses the replica of one upstream for each call.
///
/// Calls go to replicas within the load bound: to the less loaded of two drawn from those with the fewest own calls.
/// Calls with a group key stay on the replica of the call before while it is within the bounds, else they move.
/// Load is the lagged report of the replica, corrected by the own calls that were started and finished since.
class replica_router {
public:
    /// \a vm names the own process; it chooses the subset of replicas and, with \a seed, the random draws.
    replica_router(std::string vm, std::uint64_t seed, std::size_t subset = defaultReplicaSubset);

    /// Takes the replicas of the VM list. Knowledge about replicas that stay in the subset is kept.
    void setReplicas(std::span<const replica_listing> replicas);
    /// Marks a replica as suspect or live again; a leaving one stays so.
    void setSuspect(std::string_view vm, bool suspect);
    /// Takes a lagged report of the replica: calls that run and wait, of all processes.
    void reportLoad(std::string_view vm, std::uint32_t running, std::uint32_t waiting);
    void reportWeights(std::string_view vm, const weight_version& weights);

    /// Replica for a call; empty when none may take it. started() has to follow when the call is sent.
    std::optional<std::string> pick(const route_request& request);
    void started(std::string_view vm);
    void finished(std::string_view vm);

    std::vector<replica_status> replicas() const;
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
    /// Replica of each group, and the keys in the order in which they came.
    std::unordered_map<std::uint64_t, std::string> m_groups;
    std::deque<std::uint64_t> m_groupOrder;
};

}
