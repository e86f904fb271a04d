#pragma once

#include "holdertable.h"
#include "instant.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

namespace lease_events {

    /// The view of the members has changed.
    struct members_changed {
        /// Whether this process comes first in the rendezvous order of the eligible members.
        bool isFirst = false;
        /// Members that are live and not leaving.
        std::vector<holder_identity> eligible;
    };

    /// This process is leaving: it neither acquires nor renews from now on.
    struct leaving {
    };

    /// Time has passed, or the fold of holders has moved.
    struct tick {
    };

}

using lease_event = std::variant<lease_events::members_changed, lease_events::leaving, lease_events::tick>;

namespace lease_effects {

    /// Append a record to the stream `holders`. Its outcome is seen in the fold; a reply is not needed.
    struct append_record {
        std::string recordId;
        std::string data;

        bool operator==(const append_record&) const = default;
    };

    /// The right to give orders was won, renewed or lost.
    struct holding_changed {
        bool isHolding = false;
        std::uint64_t fencing = 0;

        bool operator==(const holding_changed&) const = default;
    };

}

using lease_effect = std::variant<lease_effects::append_record, lease_effects::holding_changed>;

/// Settings of the lease of one model in one data centre.
struct lease_settings {
    std::string dataCentre;
    std::string model;
    holder_identity self;
    /// Unique for this process; the ids of its records begin with it.
    std::string recordPrefix;
};

/// Lease of this process on the weight roll-outs of one model in one data centre.
///
/// The first member in rendezvous order acquires it when the present holder is not eligible or has not renewed
/// for \c holderTimeout. The deadline of the lease runs from the time at which the record was first sent, on the
/// monotonic clock of the holder. Two holders at once cannot do harm: orders carry the fencing number and name
/// the wanted version, and whoever holds the lease compares the reports of the replicas again and again.
class holder_lease {
public:
    static constexpr duration leaseDuration = std::chrono::seconds(30);
    static constexpr duration renewPeriod = std::chrono::seconds(10);
    static constexpr duration retryPeriod = std::chrono::seconds(2);
    static constexpr duration holderTimeout = std::chrono::seconds(60);
    /// Records that may come late and still extend the lease.
    static constexpr std::size_t maxSentRecords = 16;

    /// \a fold must outlive the lease.
    holder_lease(const holder_table& table, lease_settings settings);

    std::vector<lease_effect> handle(const lease_event& event, instant now);

    /// Whether an order may be written at \a now. To be asked right before each order, since the process may
    /// have been paused after the last event.
    bool maySendOrders(instant now) const;

    /// Fencing number for orders; meaningful while maySendOrders().
    std::uint64_t fencing() const { return m_fencing; }

private:
    struct event_handler;

    struct sent_record {
        std::string id;
        instant sentAt;
    };

    void noteRecords();
    void noteOwnRecord(const holder_state& state);
    bool isHolderGone() const;
    void appendIfDue();
    void append();
    void reportChange();

    const holder_table& m_table;
    lease_settings m_settings;
    lease_events::members_changed m_members;
    bool m_isLeaving = false;
    bool m_wasHolding = false;
    std::uint64_t m_reportedFencing = 0;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_recordNumber = 0;
    std::deque<sent_record> m_sent;
    std::optional<holder_state> m_seen;
    instant m_seenAt;
    instant m_deadline;
    instant m_appendAt;
    instant m_now;
    std::vector<lease_effect> m_effects;
};

}
