#pragma once

#include "instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

class membership;

/// Relay, a daemon that reads the catalogue from the log on behalf of others.
struct relay_address {
    std::string vm;
    /// Peer address, "ip:port".
    std::string peer;

    bool operator==(const relay_address&) const = default;
};

/// Relays that one daemon knows of.
struct relay_view {
    /// Whether the local daemon is a relay of its data centre.
    bool isLocalRelay = false;
    /// Relays of the local data centre, without the local daemon.
    std::vector<relay_address> localRelays;
    /// Relays of the other data centres.
    std::vector<relay_address> remoteRelays;

    bool operator==(const relay_view&) const = default;
};

/// Chooses \a count relays in each data centre from \a members by rendezvous hashing.
relay_view makeRelayView(const membership& members, std::size_t count);

namespace relay_events {

    /// The membership changed.
    struct view_changed {
        relay_view view;
    };

    /// Gossip reports that a member has reached this position.
    struct head_announced {
        std::uint64_t position = 0;
    };

    /// The local daemon has applied all records below this offset.
    struct position_applied {
        std::uint64_t position = 0;
    };

    /// A relay answered; the records and the snapshot that it sent have been applied before this event.
    struct relay_answered {
        std::string vm;
        /// Position of the relay.
        std::uint64_t end = 0;
    };

    /// A relay did not answer in time or cannot be reached.
    struct relay_failed {
        std::string vm;
    };

    /// Time has passed; expected every 50 ms.
    struct tick {
    };

}

using relay_event = std::variant<relay_events::view_changed, relay_events::head_announced, relay_events::position_applied,
    relay_events::relay_answered, relay_events::relay_failed, relay_events::tick>;

namespace relay_effects {

    /// Start or stop reading the stream `catalogue` from the log.
    struct tailing_changed {
        bool isTailing = false;

        bool operator==(const tailing_changed&) const = default;
    };

    /// Ask this relay for the records from \c from on. Answered by relay_answered or relay_failed.
    struct ask_relay {
        relay_address relay;
        std::uint64_t from = 0;

        bool operator==(const ask_relay&) const = default;
    };

}

using relay_effect = std::variant<relay_effects::tailing_changed, relay_effects::ask_relay>;

/// Decides whether a daemon reads the catalogue from the log or from a relay.
///
/// The relays of a data centre tail the log. The other daemons, the followers, ask a relay when gossip reports a
/// position above their own, and once per \c pollPeriod in case gossip was lost. Relays of the local data centre are
/// asked first, then those of other data centres, in a random order of each daemon so that the relays share the load.
/// When no relay has the missing records, the follower tails the log itself until a relay answers with all of them. A
/// relay that stays behind because it cannot reach the log asks other relays too. At most one request is in flight.
class catalogue_relay {
public:
    /// Time after which a follower asks a relay although gossip has reported no higher position.
    static constexpr duration pollPeriod = std::chrono::seconds(30);
    /// Wait before the next relay is asked, after one that failed or lacked the missing records.
    static constexpr duration retryPeriod = std::chrono::milliseconds(250);
    /// Time after which a follower that tails the log itself asks a relay again.
    static constexpr duration fallbackPeriod = std::chrono::seconds(10);
    /// Time for which a daemon that tails the log may be behind before it asks relays.
    static constexpr duration tailTimeout = std::chrono::seconds(2);
    /// Time-out of a request to a relay; the daemon reports relay_failed after it.
    static constexpr duration askTimeout = std::chrono::seconds(1);
    /// Most relays of other data centres that are asked before the daemon tails the log itself.
    static constexpr std::size_t maxRemoteRelays = 2;

    /// \a seed determines the order in which relays are asked.
    explicit catalogue_relay(std::uint64_t seed);

    /// Processes \a event and returns the effects that the caller is to carry out.
    std::vector<relay_effect> handle(const relay_event& event, instant now);

    /// Whether the daemon reads the log itself.
    bool isTailing() const { return m_isTailing; }
    /// Whether the daemon is a relay.
    bool isRelay() const { return m_view.isLocalRelay; }

private:
    void on(const relay_events::view_changed& event);
    void on(const relay_events::head_announced& event);
    void on(const relay_events::position_applied& event);
    void on(const relay_events::relay_answered& event);
    void on(const relay_events::relay_failed& event);
    void on(const relay_events::tick& event);
    void orderRelays();
    void askIfDue();
    void ask();
    void tryNext();
    void setTailing(bool isTailing);

    std::mt19937_64 m_random;
    instant m_now;
    relay_view m_view;
    /// Relays in the order in which they are asked.
    std::vector<relay_address> m_order;
    /// Index into m_order of the relay to ask next.
    std::size_t m_next = 0;
    /// Highest position of the catalogue that is known.
    std::uint64_t m_head = 0;
    /// Position of the local daemon.
    std::uint64_t m_position = 0;
    bool m_isTailing = false;
    /// Relay whose answer is awaited.
    std::optional<relay_address> m_asked;
    /// Time of the next request.
    std::optional<instant> m_askAt;
    std::vector<relay_effect> m_effects;
};

}
