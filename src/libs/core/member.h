#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// State of a member as one daemon's membership view has it.
enum class member_state {
    Alive,
    Suspect,
    Leaving,
    Failed,
};

/// Name of \a state in the status document: "alive", "suspect", "leaving" or "failed".
std::string_view toString(member_state state);

/// Addresses of a daemon, each "ip:port".
struct member_addresses {
    std::string gossip;
    std::string peer;
    std::string admin;
    std::string caller;

    bool operator==(const member_addresses&) const = default;
};

/// Process instance of a daemon: the VM's incarnation from the VM list, then the start of the process.
///
/// Of two instances of one VM the greater one is the later one.
struct member_instance {
    std::uint64_t incarnation = 0;
    /// Wall-clock time of the start of the process, in milliseconds since 1970. 0 while only the VM list names the
    /// member, that is, before any message of the process has arrived.
    std::uint64_t startMilliseconds = 0;

    bool operator==(const member_instance&) const = default;
    std::strong_ordering operator<=>(const member_instance& other) const
    {
        const std::strong_ordering byIncarnation = incarnation <=> other.incarnation;
        return std::is_neq(byIncarnation) ? byIncarnation : startMilliseconds <=> other.startMilliseconds;
    }
};

/// Request rate of one owner at one daemon, in thousandths of a request per second.
struct owner_demand {
    std::string owner;
    std::uint64_t milliRequestsPerSecond = 0;

    bool operator==(const owner_demand&) const = default;
};

/// Values that a member publishes about itself by gossip, besides its state.
struct member_values {
    /// Increases by one with each change of the demands; of two revisions of one instance the higher one is kept.
    std::uint64_t revision = 0;
    /// Offset after the last catalogue record that the member has applied; never decreases within an instance.
    std::uint64_t cataloguePosition = 0;
    std::vector<owner_demand> demands;

    bool operator==(const member_values&) const = default;
};

/// Member as an entry of the membership view.
struct member {
    std::string vm;
    member_instance instance;
    std::string dataCentre;
    std::string region;
    member_addresses addresses;
    member_state state = member_state::Alive;
    member_values values;

    /// Whether the member may be given new work.
    bool isEligible() const { return state == member_state::Alive || state == member_state::Suspect; }
};

}
