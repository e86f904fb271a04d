#include "upstreamdirectory.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration suspicionTime = std::chrono::seconds(2);

    using replica_map = std::map<std::string, upstream_replica, std::less<>>;

    bool hasReplicaInRegion(const replica_map& replicas, std::string_view region)
    {
        return std::any_of(replicas.begin(), replicas.end(), [region](const replica_map::value_type& item) {
            return item.second.listing.region == region && !item.second.listing.isLeaving;
        });
    }

}

upstream_directory::upstream_directory(std::string vm, std::string region, std::uint64_t seed)
    : m_vm(std::move(vm))
    , m_region(std::move(region))
    , m_seed(seed)
{
}

bool upstream_directory::setList(const vm_list& list)
{
    if (m_hasList && list.revision <= m_revision)
        return false;
    m_hasList = true;
    m_revision = list.revision;
    std::map<std::string, replica_map, std::less<>> byUpstream;
    for (const listed_vm& vm : list.vms) {
        if (vm.role == vm_role::Upstream)
            byUpstream[vm.upstream][vm.vm].listing = vm;
    }
    m_upstreamByVm.clear();
    for (auto it = m_upstreams.begin(); it != m_upstreams.end(); ++it)
        byUpstream.try_emplace(it->first);
    for (auto it = byUpstream.begin(); it != byUpstream.end(); ++it) {
        const auto state = m_upstreams.try_emplace(it->first, upstream_state { replica_router(m_vm, m_seed), {} }).first;
        setReplicas(state->second, std::move(it->second));
    }
    return true;
}

void upstream_directory::setReplicas(upstream_state& state, replica_map replicas)
{
    for (auto it = replicas.begin(); it != replicas.end(); ++it) {
        m_upstreamByVm[it->first] = it->second.listing.upstream;
        const auto known = state.replicas.find(it->first);
        if (known == state.replicas.end() || known->second.listing.incarnation != it->second.listing.incarnation)
            continue;
        const bool wasLeaving = known->second.listing.isLeaving;
        const listed_vm listing = std::move(it->second.listing);
        it->second = known->second;
        it->second.listing = listing;
        it->second.listing.isLeaving = listing.isLeaving || wasLeaving;
    }
    state.replicas = std::move(replicas);
    const bool isRegional = hasReplicaInRegion(state.replicas, m_region);
    std::vector<replica_listing> listings;
    for (auto it = state.replicas.begin(); it != state.replicas.end(); ++it) {
        const listed_vm& listing = it->second.listing;
        if (!isRegional || listing.region == m_region)
            listings.push_back({ listing.vm, listing.isLeaving ? replica_state::Leaving : replica_state::Live });
    }
    state.router.setReplicas(listings);
}

replica_router* upstream_directory::router(std::string_view upstream)
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? nullptr : &it->second.router;
}

const upstream_replica* upstream_directory::replica(std::string_view vm) const
{
    const auto upstream = m_upstreamByVm.find(vm);
    if (upstream == m_upstreamByVm.end())
        return nullptr;
    const auto state = m_upstreams.find(upstream->second);
    const auto it = state->second.replicas.find(vm);
    return it == state->second.replicas.end() ? nullptr : &it->second;
}

upstream_replica* upstream_directory::find(std::string_view vm)
{
    return const_cast<upstream_replica*>(std::as_const(*this).replica(vm));
}

std::vector<std::string> upstream_directory::upstreams() const
{
    std::vector<std::string> names;
    for (auto it = m_upstreams.begin(); it != m_upstreams.end(); ++it)
        names.push_back(it->first);
    return names;
}

std::vector<const upstream_replica*> upstream_directory::replicas(std::string_view upstream) const
{
    std::vector<const upstream_replica*> list;
    const auto state = m_upstreams.find(upstream);
    if (state == m_upstreams.end())
        return list;
    for (auto it = state->second.replicas.begin(); it != state->second.replicas.end(); ++it)
        list.push_back(&it->second);
    return list;
}

void upstream_directory::noteFailure(std::string_view vm, instant now)
{
    upstream_replica* const failed = find(vm);
    if (!failed)
        return;
    failed->suspectUntil = now + suspicionTime;
    router(failed->listing.upstream)->setSuspect(vm, true);
}

void upstream_directory::noteSuccess(std::string_view vm)
{
    upstream_replica* const replica = find(vm);
    if (!replica || replica->suspectUntil == instant {})
        return;
    replica->suspectUntil = {};
    router(replica->listing.upstream)->setSuspect(vm, false);
}

void upstream_directory::setEngineState(std::string_view vm, const std::optional<engine_state>& state, instant now)
{
    upstream_replica* const replica = find(vm);
    if (!replica)
        return;
    replica->engine = state;
    replica->engineReadAt = now;
    if (!state) {
        noteFailure(vm, now);
        return;
    }
    replica_router* const owner = router(replica->listing.upstream);
    owner->reportWeights(vm, state->weights);
    owner->reportLoad(vm, state->running, state->waiting);
}

void upstream_directory::tick(instant now)
{
    for (auto state = m_upstreams.begin(); state != m_upstreams.end(); ++state) {
        for (auto it = state->second.replicas.begin(); it != state->second.replicas.end(); ++it) {
            upstream_replica& replica = it->second;
            if (replica.suspectUntil == instant {} || now < replica.suspectUntil)
                continue;
            replica.suspectUntil = {};
            state->second.router.setSuspect(it->first, false);
        }
    }
}

}
