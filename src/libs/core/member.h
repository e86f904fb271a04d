#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// What the view of one daemon says about a member.
enum class member_state {
    Alive,
    Suspect,
    Leaving,
    Failed,
};

/// "alive", "suspect", "leaving" or "failed".
std::string_view toString(member_state state);

/// Addresses of a daemon, each "ip:port".
struct member_addresses {
    std::string gossip;
    std::string peer;
    std::string admin;
    std::string caller;

    bool operator==(const member_addresses&) const = default;
};

/// One life of a daemon: the VM's incarnation from the VM list, then the start of the process.
struct member_instance {
    std::uint64_t incarnation = 0;
    /// Wall-clock time of the start of the process in milliseconds; 0 when only the VM list named it.
    std::uint64_t run = 0;

    bool operator==(const member_instance&) const = default;
    std::strong_ordering operator<=>(const member_instance& other) const
    {
        const std::strong_ordering byIncarnation = incarnation <=> other.incarnation;
        return std::is_neq(byIncarnation) ? byIncarnation : run <=> other.run;
    }
};

/// Demand of one owner at one daemon, in thousandths of a request per second.
struct owner_demand {
    std::string owner;
    std::uint64_t milliRequestsPerSecond = 0;

    bool operator==(const owner_demand&) const = default;
};

/// Values that a member spreads about itself besides its state.
struct member_values {
    /// Grows by one with each change of the demands; the higher revision of one life wins.
    std::uint64_t revision = 0;
    /// Never goes back within a life.
    std::uint64_t cataloguePosition = 0;
    std::vector<owner_demand> demands;

    bool operator==(const member_values&) const = default;
};

/// Entry of the membership view.
struct member {
    std::string vm;
    member_instance life;
    std::string dataCentre;
    std::string region;
    member_addresses addresses;
    member_state state = member_state::Alive;
    member_values values;

    /// True when the member may be given new work.
    bool isEligible() const { return state == member_state::Alive || state == member_state::Suspect; }
};

}
