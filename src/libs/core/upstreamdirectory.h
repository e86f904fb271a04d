#pragma once

#include "enginemessage.h"
#include "instant.h"
#include "replicarouter.h"
#include "vmlist.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Replica of an upstream with its state as known to this process.
struct upstream_replica {
    listed_vm listing;
    std::optional<engine_state> engine;
    /// Time at which the state of the engine was last read.
    std::optional<instant> engineReadAt;
    /// The replica is suspect until then, because a call to it failed.
    instant suspectUntil {};
};

/// Replicas of all upstreams, as the VM list names them, and the router of each upstream.
class upstream_directory {
public:
    /// \a vm and \a region are those of this process; \a seed is for the random choices of the routers.
    upstream_directory(std::string vm, std::string region, std::uint64_t seed);

    /// Replaces the VM list. Returns false and ignores \a list when it is not newer than the last one.
    bool setList(const vm_list& list);

    /// Router of \a upstream; nullptr when the list names no replica of it.
    replica_router* router(std::string_view upstream);
    /// Replica on \a vm; nullptr when the list does not name it.
    const upstream_replica* replica(std::string_view vm) const;
    std::vector<std::string> upstreams() const;
    /// All replicas of \a upstream, sorted by VM.
    std::vector<const upstream_replica*> replicas(std::string_view upstream) const;
    std::uint64_t revision() const { return m_revision; }

    /// Records that a call to \a vm failed: while the suspicion lasts, the replica gets work only when no other one
    /// is left.
    void noteFailure(std::string_view vm, instant now);
    void noteSuccess(std::string_view vm);
    /// Stores the state that the engine on \a vm reported; an empty one counts as a failed call.
    void setEngineState(std::string_view vm, const std::optional<engine_state>& state, instant now);
    /// Ends the suspicions whose time has passed.
    void tick(instant now);

private:
    struct upstream_state {
        replica_router router;
        std::map<std::string, upstream_replica, std::less<>> replicas;
    };

    void setReplicas(upstream_state& state, std::map<std::string, upstream_replica, std::less<>> replicas);
    upstream_replica* find(std::string_view vm);

    std::string m_vm;
    std::string m_region;
    std::uint64_t m_seed;
    std::uint64_t m_revision = 0;
    bool m_hasList = false;
    std::map<std::string, upstream_state, std::less<>> m_upstreams;
    std::map<std::string, std::string, std::less<>> m_upstreamByVm;
};

}
