#include "ownermap.h"

#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr std::string_view relayKey = "catalogue-relay";

    struct scored_node {
        std::uint64_t score = 0;
        const std::string* vm = nullptr;
    };

    bool ranksBefore(const scored_node& left, const scored_node& right)
    {
        if (left.score != right.score)
            return left.score > right.score;
        return *left.vm < *right.vm;
    }

}

owner_map::owner_map(std::span<const member> members)
{
    for (const member& candidate : members)
        add(candidate);
}

owner_map::owner_map(const membership& view)
{
    view.visitMembers([this](const member& candidate) { add(candidate); });
}

void owner_map::add(const member& candidate)
{
    if (candidate.isEligible())
        m_nodes.push_back({ candidate.vm, candidate.dataCentre, XXH3_64bits(candidate.vm.data(), candidate.vm.size()) });
}

std::string owner_map::ownerOf(std::string_view batch, std::string_view dataCentre) const
{
    const std::vector<std::string> owners = candidates(batch, dataCentre, 1);
    return owners.empty() ? std::string() : owners.front();
}

std::vector<std::string> owner_map::candidates(std::string_view key, std::string_view dataCentre, std::size_t count) const
{
    const bool hasCandidates = std::any_of(m_nodes.begin(), m_nodes.end(),
        [dataCentre](const node& candidate) { return candidate.dataCentre == dataCentre; });
    std::vector<scored_node> scored;
    for (const node& candidate : m_nodes) {
        if (!hasCandidates || candidate.dataCentre == dataCentre)
            scored.push_back({ XXH3_64bits_withSeed(key.data(), key.size(), candidate.hash), &candidate.vm });
    }
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), ranksBefore);
    std::vector<std::string> vms;
    for (std::size_t index = 0; index < count; ++index)
        vms.push_back(*scored[index].vm);
    return vms;
}

std::vector<std::string> owner_map::relaysOf(std::string_view dataCentre, std::size_t count) const
{
    const bool hasCandidates = std::any_of(m_nodes.begin(), m_nodes.end(),
        [dataCentre](const node& candidate) { return candidate.dataCentre == dataCentre; });
    return hasCandidates ? candidates(relayKey, dataCentre, count) : std::vector<std::string>();
}

}
