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

/// Daemon that reads the log for others.
struct relay_address {
    std::string vm;
    /// Peer address, "ip:port".
    std::string peer;

    bool operator==(const relay_address&) const = default;
};

/// Relays as one daemon sees them.
struct relay_view {
    /// The local daemon is a relay of its data centre.
    bool isLocalRelay = false;
    /// Relays of the own data centre, without the local daemon.
    std::vector<relay_address> inside;
    /// Relays of the other data centres.
    std::vector<relay_address> outside;

    bool operator==(const relay_view&) const = default;
};

/// Relays in \a members, \a count in each data centre, chosen by rendezvous hashing.
relay_view makeRelayView(const membership& members, std::size_t count);

namespace relay_events {

    /// The membership changed.
    struct view_changed {
        relay_view view;
    };

    /// Some member is known to have this position.
    struct head_announced {
        std::uint64_t position = 0;
    };

    /// The local daemon has applied all records below this offset.
    struct position_applied {
        std::uint64_t position = 0;
    };

    /// A relay answered with all it has; its records were applied before this event.
    struct relay_answered {
        std::string vm;
        /// Position of the relay.
        std::uint64_t end = 0;
    };

    /// A relay did not answer or cannot be reached.
    struct relay_failed {
        std::string vm;
    };

    /// Time passed; expected every 50 ms.
    struct tick {
    };

}

using relay_event = std::variant<relay_events::view_changed, relay_events::head_announced, relay_events::position_applied,
    relay_events::relay_answered, relay_events::relay_failed, relay_events::tick>;

namespace relay_effects {

    /// Start or stop to read the stream `catalogue` from the log.
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
/// The relays of a data centre tail the log. The others ask a relay when gossip names a position above
/// their own, and now and then in case gossip was lost. Those of the own data centre are asked first, in an order of
/// the daemon's own so that the relays share the load, then those of other data centres. When none helps, the daemon
/// tails the log itself until a relay answers again. A relay that stays behind, because it cannot reach the log, asks
/// other relays too. One question is under way at any time.
class catalogue_relay {
public:
    /// Time after which a follower asks without having heard of a higher position.
    static constexpr duration pollPeriod = std::chrono::seconds(30);
    /// Wait before the next relay is asked, when the last one had nothing new or failed.
    static constexpr duration retryPeriod = std::chrono::milliseconds(250);
    /// Time after which a daemon that tails the log in place of the relays tries one again.
    static constexpr duration fallbackPeriod = std::chrono::seconds(10);
    /// Time for which a daemon that tails the log may be behind before it asks others.
    static constexpr duration tailPatience = std::chrono::seconds(2);
    /// Timeout of a question; the daemon reports relay_failed after it.
    static constexpr duration askTimeout = std::chrono::seconds(1);
    /// Relays of other data centres asked before the daemon tails the log itself.
    static constexpr std::size_t maxOutsideRelays = 2;

    explicit catalogue_relay(std::uint64_t seed);

    std::vector<relay_effect> handle(const relay_event& event, instant now);

    /// The daemon reads the log itself.
    bool isTailing() const { return m_isTailing; }
    /// The daemon reads the log for others.
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
    std::vector<relay_address> m_order;
    std::size_t m_next = 0;
    std::uint64_t m_head = 0;
    std::uint64_t m_position = 0;
    bool m_isTailing = false;
    std::optional<relay_address> m_asked;
    std::optional<instant> m_askAt;
    std::vector<relay_effect> m_effects;
};

}
