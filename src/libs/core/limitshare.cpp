#include "limitshare.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Adds \a remainder evenly to all shares; when it does not divide evenly the first VMs get one more.
    void addEvenly(std::uint64_t remainder, std::vector<vm_share>& shares)
    {
        const std::uint64_t each = remainder / shares.size();
        const std::uint64_t more = remainder % shares.size();
        for (std::size_t index = 0; index < shares.size(); ++index)
            shares[index].share += each + (index < more ? 1 : 0);
    }

}

std::vector<vm_share> limitShares(std::uint64_t limit, std::span<const vm_demand> demands)
{
    std::vector<vm_demand> sorted(demands.begin(), demands.end());
    std::sort(sorted.begin(), sorted.end(), [](const vm_demand& left, const vm_demand& right) {
        return left.demand != right.demand ? left.demand < right.demand : left.vm < right.vm;
    });
    std::vector<vm_share> shares;
    std::uint64_t remainder = limit;
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const std::uint64_t fair = remainder / (sorted.size() - index);
        const std::uint64_t share = std::min(sorted[index].demand, fair);
        shares.push_back({ sorted[index].vm, share });
        remainder -= share;
    }
    std::sort(shares.begin(), shares.end(), [](const vm_share& left, const vm_share& right) { return left.vm < right.vm; });
    if (!shares.empty())
        addEvenly(remainder, shares);
    return shares;
}

std::uint64_t limitShare(std::uint64_t limit, std::span<const vm_demand> demands, const std::string& vm)
{
    if (demands.empty())
        return limit;
    const std::vector<vm_share> shares = limitShares(limit, demands);
    const auto it = std::find_if(shares.begin(), shares.end(), [&vm](const vm_share& share) { return share.vm == vm; });
    return it == shares.end() ? 0 : it->share;
}

}
