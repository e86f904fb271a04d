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
    /// This daemon; its instance holds the start of this process.
    member local;
    std::uint64_t seed = 1;
    duration probePeriod = std::chrono::milliseconds(500);
    /// Time without a direct answer after which other members are asked to probe the member too.
    duration directTimeout = std::chrono::milliseconds(300);
    /// Time without any answer, from the start of the probe, after which the member is suspected.
    duration probeTimeout = std::chrono::milliseconds(700);
    /// Time after which a suspect that has not refuted the suspicion is considered failed.
    duration suspicionTimeout = std::chrono::milliseconds(1500);
    duration pushPeriod = std::chrono::milliseconds(100);
    duration digestPeriod = std::chrono::seconds(5);
    /// Time for which failed members are kept, so that an outdated record does not bring them back as alive.
    duration failedRetention = std::chrono::hours(24);
    /// Number of members that are asked to probe a member that did not answer directly.
    std::size_t indirectProbes = 3;
    /// Number of members that receive a push in one push period.
    std::size_t pushFanout = 3;
    /// Number of pushes in which one daemon sends a delta.
    std::size_t pushTransmissions = 9;
    std::size_t maxMembers = 2048;
};

/// A datagram arrived from \c address ("ip:port").
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

/// The platform's VM list was read. A list whose revision is not above the last one is ignored.
struct vm_list_received {
    std::uint64_t revision = 0;
    std::vector<vm_list_entry> entries;
};

/// State of this daemon to publish. Leaving cannot be revoked.
struct local_state_changed {
    bool leaving = false;
    std::uint64_t cataloguePosition = 0;
    std::vector<owner_demand> demands;
};

/// Timer event; expected every 50 ms.
struct membership_tick { };

using membership_event = std::variant<message_received, vm_list_received, local_state_changed, membership_tick>;

/// Send \c message to the gossip address \c address.
struct send_message {
    std::string address;
    gossip_message message;
};

/// A member joined, changed its state or was replaced by a new process instance. This daemon itself is a member too.
struct member_changed {
    std::string vm;
    member_instance instance;
    member_state state = member_state::Alive;
    /// State before the change; empty for a member that was not known.
    std::optional<member_state> previous;
};

/// A message named a higher catalogue position than all before.
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

/// Membership view of one daemon, maintained by probes and gossip as in the SWIM protocol.
///
/// In each probe period one member is probed, alternately the successor of this daemon on a ring of hashed names
/// and a random member. Changes are pushed at once to a few random members and then piggybacked on probes.
/// Digests exchanged with random members, failed ones included, repair lost updates and merge the views after a
/// partition.
class membership {
public:
    explicit membership(membership_settings settings);
    ~membership();
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;

    /// Handles \a event at time \a now and returns the effects for the caller to carry out.
    std::vector<membership_effect> handle(const membership_event& event, instant now);

    /// This daemon.
    const member& local() const;
    /// Member \a vm, or nullptr when it is not known.
    const member* find(std::string_view vm) const;
    /// All members sorted by name, this daemon and failed ones included.
    std::vector<member> members() const;
    /// Calls \a visit with each member, sorted by name.
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
