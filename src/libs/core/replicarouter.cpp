#include "replicarouter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace ragwortreach {

namespace {

    std::uint64_t rendezvousRank(std::string_view vm, std::uint64_t key)
    {
        return XXH3_64bits_withSeed(vm.data(), vm.size(), key);
    }

}

replica_router::replica_router(std::string vm, std::uint64_t seed, std::size_t subset)
    : m_vm(std::move(vm))
    , m_randomState(rendezvousRank(m_vm, seed))
    , m_subset(std::max<std::size_t>(1, subset))
{
}

void replica_router::setReplicas(std::span<const replica_listing> replicas)
{
    const std::uint64_t key = rendezvousRank(m_vm, 0);
    std::vector<replica_listing> chosen(replicas.begin(), replicas.end());
    // Live replicas come first, so that leaving ones do not displace them from the subset. Within a state rendezvous
    // hashing by the own VM chooses the subset.
    std::sort(chosen.begin(), chosen.end(), [key](const replica_listing& left, const replica_listing& right) {
        if (left.state != right.state)
            return left.state < right.state;
        return rendezvousRank(left.vm, key) < rendezvousRank(right.vm, key);
    });
    chosen.resize(std::min(chosen.size(), m_subset));

    std::vector<replica> next;
    for (const replica_listing& listing : chosen) {
        replica* known = find(listing.vm);
        replica entry = known ? std::move(*known) : replica {};
        entry.vm = listing.vm;
        entry.listedState = listing.state;
        next.push_back(std::move(entry));
    }
    m_replicas = std::move(next);
}

void replica_router::setSuspect(std::string_view vm, bool suspect)
{
    replica* found = find(vm);
    if (found)
        found->suspect = suspect;
}

void replica_router::reportLoad(std::string_view vm, std::uint32_t running, std::uint32_t waiting)
{
    replica* found = find(vm);
    if (!found)
        return;
    found->reportedLoad = running + waiting;
    found->inFlightAtReport = found->inFlight;
}

void replica_router::reportWeights(std::string_view vm, const weight_version& weights)
{
    replica* found = find(vm);
    if (found)
        found->weights = weights;
}

std::optional<std::string> replica_router::pick(const route_request& request)
{
    std::vector<const replica*> choice = candidates(request, replica_state::Live);
    if (choice.empty())
        choice = candidates(request, replica_state::Suspect);
    if (choice.empty())
        return std::nullopt;
    const replica* picked = request.groupKey ? pickForGroup(choice, *request.groupKey) : pickLeastLoaded(withinLoadBound(choice));
    return picked->vm;
}

void replica_router::started(std::string_view vm)
{
    replica* found = find(vm);
    if (found)
        ++found->inFlight;
}

void replica_router::finished(std::string_view vm)
{
    replica* found = find(vm);
    if (found && found->inFlight > 0)
        --found->inFlight;
}

std::vector<replica_status> replica_router::replicas() const
{
    std::vector<replica_status> statuses;
    for (const replica& entry : m_replicas)
        statuses.push_back({ entry.vm, entry.state(), entry.inFlight, entry.load(), entry.weights });
    return statuses;
}

std::uint32_t replica_router::inFlight() const
{
    std::uint32_t sum = 0;
    for (const replica& entry : m_replicas)
        sum += entry.inFlight;
    return sum;
}

replica_state replica_router::replica::state() const
{
    if (listedState == replica_state::Live && suspect)
        return replica_state::Suspect;
    return listedState;
}

/// Calls of other processes at the last report, plus the own calls now.
std::uint32_t replica_router::replica::load() const
{
    const std::uint32_t others = reportedLoad > inFlightAtReport ? reportedLoad - inFlightAtReport : 0;
    return others + inFlight;
}

replica_router::replica* replica_router::find(std::string_view vm)
{
    const auto it = std::find_if(m_replicas.begin(), m_replicas.end(), [vm](const replica& entry) { return entry.vm == vm; });
    return it == m_replicas.end() ? nullptr : &*it;
}

std::vector<const replica_router::replica*> replica_router::candidates(const route_request& request, replica_state state) const
{
    std::vector<const replica*> found;
    for (const replica& entry : m_replicas) {
        if (entry.state() != state)
            continue;
        if (std::find(request.excluded.begin(), request.excluded.end(), entry.vm) != request.excluded.end())
            continue;
        const bool isFresh = !request.trainerVersion
            || (entry.weights && versionsBehind(*request.trainerVersion, *entry.weights) <= request.maxVersionsBehind);
        if (isFresh)
            found.push_back(&entry);
    }
    return found;
}

/// Candidates whose load, with one more call, stays within replicaLoadBound times the mean; never empty.
std::vector<const replica_router::replica*> replica_router::withinLoadBound(const std::vector<const replica*>& candidates)
{
    double load = 1;
    for (const replica* entry : candidates)
        load += entry->load();
    const double bound = std::ceil(replicaLoadBound * load / static_cast<double>(candidates.size()));
    std::vector<const replica*> found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found),
        [bound](const replica* entry) { return entry->load() + 1.0 <= bound; });
    return found;
}

const replica_router::replica* replica_router::pickForGroup(const std::vector<const replica*>& candidates, std::uint64_t groupKey)
{
    double ownCalls = 1;
    for (const replica* entry : candidates)
        ownCalls += entry->inFlight;
    const double ownCallsBound = std::ceil(groupOwnCallsBound * ownCalls / static_cast<double>(candidates.size()));
    const std::vector<const replica*> withinBound = withinLoadBound(candidates);
    const auto group = m_groups.find(groupKey);
    if (group != m_groups.end()) {
        const auto known = std::find_if(withinBound.begin(), withinBound.end(), [&group, ownCallsBound](const replica* entry) {
            return entry->vm == group->second && entry->inFlight + 1.0 <= ownCallsBound;
        });
        if (known != withinBound.end())
            return *known;
    }
    const replica* picked = pickLeastLoaded(withinBound);
    rememberGroup(groupKey, picked->vm);
    return picked;
}

/// Less loaded of two random replicas with the fewest own calls. Always choosing the least loaded one would not work:
/// reports lag, so a replica that looks idle would get the calls of all daemons.
const replica_router::replica* replica_router::pickLeastLoaded(const std::vector<const replica*>& candidates)
{
    const auto byOwnCalls = [](const replica* left, const replica* right) { return left->inFlight < right->inFlight; };
    const std::uint32_t fewest = (*std::min_element(candidates.begin(), candidates.end(), byOwnCalls))->inFlight;
    std::vector<const replica*> withFewest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(withFewest),
        [fewest](const replica* entry) { return entry->inFlight == fewest; });
    return pickLessLoadedOfTwo(withFewest);
}

void replica_router::rememberGroup(std::uint64_t groupKey, const std::string& vm)
{
    if (m_groups.insert_or_assign(groupKey, vm).second)
        m_groupOrder.push_back(groupKey);
    if (m_groupOrder.size() <= maxRememberedGroups)
        return;
    m_groups.erase(m_groupOrder.front());
    m_groupOrder.pop_front();
}

const replica_router::replica* replica_router::pickLessLoadedOfTwo(const std::vector<const replica*>& candidates)
{
    if (candidates.size() == 1)
        return candidates.front();
    const std::size_t firstIndex = random() % candidates.size();
    const std::size_t distance = 1 + random() % (candidates.size() - 1);
    const replica* first = candidates[firstIndex];
    const replica* second = candidates[(firstIndex + distance) % candidates.size()];
    return second->load() < first->load() ? second : first;
}

/// Pseudo-random number generator SplitMix64.
std::uint64_t replica_router::random()
{
    m_randomState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = m_randomState;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}
