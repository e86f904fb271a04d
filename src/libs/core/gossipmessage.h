#pragma once

#include "member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Largest encoded gossip message, in bytes. It fits one unfragmented datagram.
constexpr std::size_t maxGossipMessageSize = 1200;
/// Longest name of a VM, a data centre, a region, an owner or an address, in bytes.
constexpr std::size_t maxGossipNameLength = 64;
/// Most demands that one member spreads.
constexpr std::size_t maxDemandsPerMember = 8;
/// Most members of one position_report.
constexpr std::size_t maxReportedMembers = 200;
/// Number of buckets of a digest.
constexpr std::size_t digestBucketCount = 64;

/// Health of a member as it is spread. Leaving is a flag of its own.
enum class member_health : std::uint8_t {
    Alive,
    Suspect,
    Failed,
};

/// Fixed facts of one life of a member.
struct member_details {
    std::string dataCentre;
    std::string region;
    member_addresses addresses;

    bool operator==(const member_details&) const = default;
};

/// Change of the state of a member.
struct member_delta {
    std::string vm;
    member_instance life;
    /// Raised by the member itself to refute a suspicion.
    std::uint64_t refutation = 0;
    member_health health = member_health::Alive;
    /// Final for a life: once seen it stays.
    bool leaving = false;
    /// Sent for lives that the receiver may not know.
    std::optional<member_details> details;

    bool operator==(const member_delta&) const = default;
};

/// Values of one member, spread at a lower priority than deltas.
struct values_delta {
    std::string vm;
    member_instance life;
    member_values values;

    bool operator==(const values_delta&) const = default;
};

/// Members known to have reached a catalogue position, each by the hash of its name and life.
struct position_report {
    std::uint64_t position = 0;
    std::vector<std::uint32_t> members;

    bool operator==(const position_report&) const = default;
};

/// Asks the target whether it is alive.
struct ping_body {
    std::uint64_t sequence = 0;
    std::string target;
    /// The ping carries values and asks for some with the answer; probes of a fixed neighbour do not.
    bool carriesValues = false;
    bool operator==(const ping_body&) const = default;
};

/// Answers a ping; \c target is the member that answered, also when a third one relays the answer.
struct ack_body {
    std::uint64_t sequence = 0;
    std::string target;
    bool operator==(const ack_body&) const = default;
};

/// Asks the receiver to ping the target for the sender.
struct indirect_ping_body {
    std::uint64_t sequence = 0;
    std::string target;
    std::string targetAddress;
    bool operator==(const indirect_ping_body&) const = default;
};

/// Carries deltas at once, outside the probes.
struct push_body {
    /// The deltas answer a digest; a failure in them counts as a suspicion.
    bool isSync = false;
    bool operator==(const push_body&) const = default;
};

/// Hashes of the members that are not failed, by bucket of the hash of the VM's name.
struct digest_body {
    std::array<std::uint32_t, digestBucketCount> hashes {};
    /// The digest answers another one and is not answered itself.
    bool isReply = false;
    bool operator==(const digest_body&) const = default;
};

/// Asks for the details of members known only by name.
struct details_request_body {
    std::vector<std::string> vms;
    bool operator==(const details_request_body&) const = default;
};

using gossip_body = std::variant<ping_body, ack_body, indirect_ping_body, push_body, digest_body, details_request_body>;

/// Datagram between two daemons.
struct gossip_message {
    /// Hybrid time of the sender; the socket fills it in.
    std::uint64_t hybridTime = 0;
    std::string sender;
    member_instance senderInstance;
    /// Highest catalogue position that the sender knows of.
    std::uint64_t catalogueHead = 0;
    gossip_body body;
    std::vector<member_delta> deltas;
    std::vector<values_delta> values;
    position_report reached;

    bool operator==(const gossip_message&) const = default;
};

/// Upper bound of the encoded size of \a delta, in bytes.
std::size_t encodedSizeBound(const member_delta& delta);

/// Upper bound of the encoded size of \a delta, in bytes.
std::size_t encodedSizeBound(const values_delta& delta);

/// Upper bound of the encoded size of \a message, in bytes.
std::size_t encodedSizeBound(const gossip_message& message);

}
