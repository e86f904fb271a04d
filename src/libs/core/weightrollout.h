#pragma once

#include "instant.h"
#include "tokenbucket.h"
#include "weightversion.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

namespace rollout_events {

    /// The version that all replicas are to serve changed in the weight store or in the catalogue.
    struct target_version_changed {
        weight_version version;
    };

    /// Report of a replica about itself.
    struct replica_reported {
        std::string replica;
        weight_version weights;
        bool isLoading = false;
    };

    /// A replica left or can no longer be reached.
    struct replica_unavailable {
        std::string replica;
    };

    /// This process acquired, renewed or lost the lease, and with it the right to send weight load orders.
    struct holding_changed {
        bool isHolding = false;
        std::uint64_t fencing = 0;
    };

    /// Answer of a replica to a weight_load_order.
    enum class order_result {
        Accepted,
        /// The replica has seen a higher fencing token.
        Fenced,
        /// No connection, no reply, or an error reported by the replica.
        Failed,
    };

    struct order_answered {
        std::string replica;
        order_result result = order_result::Failed;
    };

    /// Timer event.
    struct tick {
    };

}

using rollout_event = std::variant<rollout_events::target_version_changed, rollout_events::replica_reported, rollout_events::replica_unavailable,
    rollout_events::holding_changed, rollout_events::order_answered, rollout_events::tick>;

/// Order to a replica to load a version. The sender checks holder_lease::maySendOrders() right before it writes the
/// order to the connection.
struct weight_load_order {
    std::string replica;
    weight_version version;
    std::uint64_t fencing = 0;

    bool operator==(const weight_load_order&) const = default;
};

using rollout_effect = std::variant<weight_load_order>;

/// Settings of the weight roll-outs of one model in one data centre.
struct rollout_settings {
    /// Share of the replicas that continue to serve while others load, 0 to 1. One replica may always load.
    double servingShare = 0.75;
    /// Loads per second that the weight store allows this data centre to start.
    double loadsPerSecond = 2.0;
    /// Seed of the jitter of the retries.
    std::uint64_t seed = 1;
};

/// Brings the replicas of one model in one data centre to the target version.
///
/// The holder of the lease sends the load orders in waves: the share \c servingShare of the replicas stays in
/// service, and at most \c loadsPerSecond loads are started. The reports of the replicas are compared with the
/// target version on each event, so the effect of an order of an earlier holder is corrected as soon as it is
/// reported. A load that does not lead to the target version is repeated after a back-off. No replica is ever
/// ordered back to an earlier version: while the weight store is down, replicas keep serving what they have.
class weight_rollout {
public:
    static constexpr std::size_t maxReplicas = 1024;
    /// Number of previous target versions that replicas may still serve to trainers.
    static constexpr std::size_t maxPreviousTargets = 4;
    static constexpr duration firstBackoff = std::chrono::seconds(2);
    static constexpr duration maxBackoff = std::chrono::minutes(1);
    /// Time within which a report must show that an accepted load order has started.
    static constexpr duration startTimeout = std::chrono::seconds(10);

    explicit weight_rollout(rollout_settings settings);

    std::vector<rollout_effect> handle(const rollout_event& event, instant now);

    /// Whether \a replica may do training work: it reports the target version, or a previous target version that it
    /// was not yet ordered to replace, and it is not loading.
    bool isEligible(std::string_view replica) const;
    /// Whether \a replica serves requests: it reports its state and is not loading.
    bool isServing(std::string_view replica) const;

    std::size_t replicas() const { return m_replicas.size(); }
    /// Replicas that are not loading.
    std::size_t serving() const;
    /// Replicas that report the target version and are not loading.
    std::size_t finished() const;
    /// Failed load orders since the start.
    std::uint64_t failures() const { return m_failures; }

private:
    struct event_handler;

    struct replica_state {
        weight_version weights;
        bool isLoading = false;
        /// Version of the last load order, while its outcome is not reported yet.
        std::optional<weight_version> ordered;
        /// Whether a report has shown the replica loading since that order.
        bool hasStarted = false;
        instant orderedAt;
        /// Failed load orders in a row.
        std::uint32_t failures = 0;
        instant retryAt;
    };
    using replica_map = std::map<std::string, replica_state, std::less<>>;

    void setTargetVersion(const weight_version& version);
    void applyReport(const rollout_events::replica_reported& event);
    void applyAnswer(const rollout_events::order_answered& event);
    void setHolding(const rollout_events::holding_changed& event);
    void completeOrder(replica_state& replica);
    void recordFailure(replica_state& replica);
    void expireOrders();
    void orderNext();
    bool isBusy(const replica_state& replica) const { return replica.isLoading || replica.ordered; }
    /// Number of further replicas that may load now.
    std::size_t freeSlots() const;
    duration backoff(std::uint32_t failures);

    rollout_settings m_settings;
    token_bucket m_loads;
    std::optional<weight_version> m_targetVersion;
    std::deque<weight_version> m_previousTargets;
    bool m_isHolding = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_random;
    std::uint64_t m_failures = 0;
    replica_map m_replicas;
    instant m_now;
    std::vector<rollout_effect> m_effects;
};

}
