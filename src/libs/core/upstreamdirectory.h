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

/// Replica of an upstream as this process knows it.
struct upstream_replica {
    listed_vm listing;
    std::optional<engine_state> engine;
    /// When the state of the engine was read last.
    std::optional<instant> engineReadAt;
    /// Calls to the replica failed until then; it is a suspect.
    instant suspectUntil {};
};

/// Replicas of all upstreams, from the VM list, and the router of each upstream.
class upstream_directory {
public:
    /// \a vm names this process, \a seed is for the draws of the routers.
    upstream_directory(std::string vm, std::string region, std::uint64_t seed);

    /// Takes a list. A list that is not newer than the last one is ignored and returns false.
    bool setList(const vm_list& list);

    /// Router of \a upstream; nullptr when the list names no replica of it.
    replica_router* router(std::string_view upstream);
    /// Replica on \a vm; nullptr when the list does not name it.
    const upstream_replica* replica(std::string_view vm) const;
    std::vector<std::string> upstreams() const;
    /// All replicas of \a upstream, ordered by VM.
    std::vector<const upstream_replica*> replicas(std::string_view upstream) const;
    std::uint64_t revision() const { return m_revision; }

    /// Notes that a call to \a vm failed; it gets work only when no other replica is left.
    void noteFailure(std::string_view vm, instant now);
    void noteSuccess(std::string_view vm);
    void setEngineState(std::string_view vm, const std::optional<engine_state>& state, instant now);
    /// Ends suspicions that are over.
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
