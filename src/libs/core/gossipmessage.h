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
/// Maximum number of demands that one member publishes.
constexpr std::size_t maxDemandsPerMember = 8;
/// Maximum number of members in one position_report.
constexpr std::size_t maxReportedMembers = 200;
/// Number of buckets of a digest.
constexpr std::size_t digestBucketCount = 64;

/// Health of a member in gossip messages. Leaving is a separate flag.
enum class member_health : std::uint8_t {
    Alive,
    Suspect,
    Failed,
};

/// Properties of a member that do not change within one process instance.
struct member_details {
    std::string dataCentre;
    std::string region;
    member_addresses addresses;

    bool operator==(const member_details&) const = default;
};

/// Change of the state of a member.
struct member_delta {
    std::string vm;
    member_instance instance;
    /// Increased by the member itself to refute a suspicion (the incarnation number of SWIM).
    std::uint64_t refutation = 0;
    member_health health = member_health::Alive;
    /// Final for an instance: once set it is not reset.
    bool leaving = false;
    /// Present for instances that the receiver may not know.
    std::optional<member_details> details;

    bool operator==(const member_delta&) const = default;
};

/// Values of one member, sent at a lower priority than member_delta.
struct values_delta {
    std::string vm;
    member_instance instance;
    member_values values;

    bool operator==(const values_delta&) const = default;
};

/// Members known to have applied the catalogue up to \c position, each named by instanceHash().
struct position_report {
    std::uint64_t position = 0;
    std::vector<std::uint32_t> members;

    bool operator==(const position_report&) const = default;
};

/// Asks the target whether it is alive.
struct ping_body {
    std::uint64_t sequence = 0;
    std::string target;
    /// The ping carries values and asks for values in the answer. Pings to the ring successor, a fixed neighbour,
    /// do not.
    bool carriesValues = false;
    bool operator==(const ping_body&) const = default;
};

/// Answers a ping; \c target is the member that answered, also when another member relays the answer.
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

/// Carries deltas without waiting for a probe.
struct push_body {
    /// The deltas answer a digest; a failure in them is taken as a suspicion.
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

/// Asks for the details of members whose instance is not known.
struct details_request_body {
    std::vector<std::string> vms;
    bool operator==(const details_request_body&) const = default;
};

/// Carries bytes of another protocol between daemons; the membership view only notes their sender.
struct payload_body {
    std::string bytes;
    bool operator==(const payload_body&) const = default;
};

using gossip_body = std::variant<ping_body, ack_body, indirect_ping_body, push_body, digest_body, details_request_body, payload_body>;

/// Datagram between two daemons.
struct gossip_message {
    /// Hybrid time of the sender; set by the socket code when it sends the message.
    std::uint64_t hybridTime = 0;
    std::string sender;
    member_instance senderInstance;
    /// Highest catalogue position of any member that the sender knows.
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
