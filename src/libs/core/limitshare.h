#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Demand of one VM for the limit of an owner, as received by gossip: requests per second, or calls in flight.
struct vm_demand {
    std::string vm;
    std::uint64_t demand = 0;
};

/// Part of the limit that one VM may use.
struct vm_share {
    std::string vm;
    std::uint64_t share = 0;

    bool operator==(const vm_share&) const = default;
};

/// Divides \a limit among the VMs by max-min fairness.
///
/// No VM gets more than its demand while another one lacks capacity: what small demands leave over goes to the larger
/// ones. When all demands are met, the remainder is spread evenly as headroom. The shares sum to \a limit. All VMs with
/// the same view of the members compute the same shares, whatever the order of \a demands.
std::vector<vm_share> limitShares(std::uint64_t limit, std::span<const vm_demand> demands);

/// Share of \a vm; the complete limit when \a demands is empty, 0 when it does not contain \a vm.
std::uint64_t limitShare(std::uint64_t limit, std::span<const vm_demand> demands, const std::string& vm);

}
