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

    /// The membership view changed.
    struct members_changed {
        /// Whether this process comes first in the rendezvous order of the eligible members.
        bool isFirst = false;
        /// Members of the data centre that are live and not leaving.
        std::vector<holder_identity> eligible;
    };

    /// This process is leaving: it neither acquires nor renews from now on.
    struct leaving {
    };

    /// Timer event, or records were applied to the holder_table.
    struct tick {
    };

}

using lease_event = std::variant<lease_events::members_changed, lease_events::leaving, lease_events::tick>;

namespace lease_effects {

    /// Append a record to the stream `holders`. The lease sees the outcome in the holder_table; no reply is needed.
    struct append_record {
        std::string recordId;
        std::string data;

        bool operator==(const append_record&) const = default;
    };

    /// The lease, and with it the right to send weight load orders, was acquired, renewed or lost.
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
    /// Prefix of the ids of this process's records; unique to this process.
    std::string recordPrefix;
};

/// Lease of this process on the weight roll-outs of one model in one data centre.
///
/// The first member in rendezvous order acquires it when the current holder is not eligible or has not renewed it
/// for \c holderTimeout. The lease expires \c leaseDuration after the time at which its record was sent, on the
/// monotonic clock of the holder. Two holders at the same time do no harm: weight load orders carry the fencing
/// token and name the target version, and the holder keeps comparing the reports of the replicas with it.
class holder_lease {
public:
    static constexpr duration leaseDuration = std::chrono::seconds(30);
    static constexpr duration renewPeriod = std::chrono::seconds(10);
    static constexpr duration retryPeriod = std::chrono::seconds(2);
    static constexpr duration holderTimeout = std::chrono::seconds(60);
    /// Number of sent records that are remembered, so that they extend the lease also when they appear late in the
    /// log.
    static constexpr std::size_t maxSentRecords = 16;

    /// \a table must outlive the lease.
    holder_lease(const holder_table& table, lease_settings settings);

    std::vector<lease_effect> handle(const lease_event& event, instant now);

    /// Whether an order may be sent at \a now. To be checked right before each order, since the process may have
    /// been paused after the last event.
    bool maySendOrders(instant now) const;

    /// Fencing token for orders; valid only while maySendOrders() returns true.
    std::uint64_t fencing() const { return m_fencing; }

private:
    struct event_handler;

    struct sent_record {
        std::string id;
        instant sentAt;
    };

    void applyRecords();
    void applyOwnRecord(const holder_state& state);
    /// Whether this process may append a record: there is no holder, or the holder is this process, is
    /// not eligible or is considered failed.
    bool mayReplaceHolder() const;
    void appendIfDue();
    void append();
    /// Emits holding_changed when the lease was acquired, renewed or lost.
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
    /// Latest state of the lease in the holder_table, and when this process first saw it.
    std::optional<holder_state> m_seen;
    instant m_seenAt;
    instant m_deadline;
    instant m_appendAt;
    instant m_now;
    std::vector<lease_effect> m_effects;
};

}
