#pragma once

#include "gossipmessage.h"
#include "instant.h"
#include "member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Settings of a membership view.
struct membership_settings {
    /// This daemon. Its life's run is the start of the process in wall-clock milliseconds.
    member local;
    std::uint64_t seed = 1;
    duration probePeriod = std::chrono::milliseconds(500);
    /// Wait for a direct answer before other members are asked to probe.
    duration directTimeout = std::chrono::milliseconds(300);
    /// Wait for any answer, from the start of the probe, before the member is suspected.
    duration probeTimeout = std::chrono::milliseconds(700);
    duration suspicionTimeout = std::chrono::milliseconds(1500);
    duration pushPeriod = std::chrono::milliseconds(100);
    duration digestPeriod = std::chrono::seconds(5);
    /// Failed members are remembered for this long, so that an old record does not revive them.
    duration failedRetention = std::chrono::hours(24);
    std::size_t indirectProbes = 3;
    /// Members that a push goes to in one period.
    std::size_t pushFanout = 3;
    /// Times that a delta is sent in pushes of one daemon.
    std::size_t pushTransmissions = 9;
    std::size_t maxMembers = 2048;
};

/// A datagram came in from \c address ("ip:port").
struct message_received {
    std::string address;
    gossip_message message;
};

/// Entry of the platform's VM list.
struct vm_list_entry {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    member_addresses addresses;
    bool leaving = false;
};

/// The platform's VM list was read. Revisions at or below the last one are ignored.
struct vm_list_received {
    std::uint64_t revision = 0;
    std::vector<vm_list_entry> entries;
};

/// State of this daemon changed. Leaving cannot be taken back.
struct local_state_changed {
    bool leaving = false;
    std::uint64_t cataloguePosition = 0;
    std::vector<owner_demand> demands;
};

/// Time passed; expected every 50 ms.
struct membership_tick { };

using membership_event = std::variant<message_received, vm_list_received, local_state_changed, membership_tick>;

/// Send \c message to the gossip address \c address.
struct send_message {
    std::string address;
    gossip_message message;
};

/// A member joined, changed its state or started a new life. This daemon itself is a member too.
struct member_changed {
    std::string vm;
    member_instance life;
    member_state state = member_state::Alive;
    /// State before; empty for a member not known before.
    std::optional<member_state> previous;
};

/// A catalogue position above all known before was heard of.
struct catalogue_head_changed {
    std::uint64_t position = 0;
};

using membership_effect = std::variant<send_message, member_changed, catalogue_head_changed>;

/// Counters of a membership view since its start.
struct membership_counters {
    std::uint64_t probes = 0;
    std::uint64_t probeFailures = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t failures = 0;
    std::uint64_t refutations = 0;
    std::uint64_t digestsDiffering = 0;
    std::uint64_t staleLists = 0;
    std::uint64_t pauses = 0;
};

/// View of the live daemons, kept by probes and gossip in the manner of SWIM.
///
/// Each period a member is probed, in turn the successor on a ring of hashed names and a random one.
/// Changes are pushed at once to a few random members and ride on the probes; digests exchanged with
/// random members, failed ones included, repair what was lost and join views after a partition.
class membership {
public:
    explicit membership(membership_settings settings);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    std::vector<membership_effect> handle(const membership_event& event, instant now);

    /// This daemon.
    const member& local() const;
    /// Member \a vm, or nullptr when it is not known.
    const member* find(std::string_view vm) const;
    /// All members in order of their names, this daemon and failed ones included.
    std::vector<member> members() const;
    /// Calls \a visit with each member in order of their names.
    void visitMembers(const std::function<void(const member&)>& visit) const;
    /// Highest catalogue position that any member is known to have.
    std::uint64_t catalogueHead() const;
    /// Sum of the demands of the eligible members for \a owner, in thousandths of a request per second.
    std::uint64_t demand(std::string_view owner) const;
    const membership_counters& counters() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

}
