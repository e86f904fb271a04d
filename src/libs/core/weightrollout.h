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

    /// The weight store or the catalogue names the version that all replicas are to serve.
    struct target_version_changed {
        weight_version version;
    };

    /// What a replica says about itself.
    struct replica_reported {
        std::string replica;
        weight_version weights;
        bool isLoading = false;
    };

    /// A replica left or cannot be reached any more.
    struct replica_unavailable {
        std::string replica;
    };

    /// This process gained, renewed or lost the right to give orders.
    struct holding_changed {
        bool isHolding = false;
        std::uint64_t fencing = 0;
    };

    /// Answer of a replica to weight_load_order.
    enum class order_result {
        Accepted,
        /// The replica knows a higher fencing number.
        Fenced,
        /// No connection, no reply, or an error of the replica.
        Failed,
    };

    struct order_answered {
        std::string replica;
        order_result result = order_result::Failed;
    };

    /// Time has passed.
    struct tick {
    };

}

using rollout_event = std::variant<rollout_events::target_version_changed, rollout_events::replica_reported, rollout_events::replica_unavailable,
    rollout_events::holding_changed, rollout_events::order_answered, rollout_events::tick>;

/// Order a replica to load a version. The sender checks holder_lease::maySendOrders() right before it writes.
struct weight_load_order {
    std::string replica;
    weight_version version;
    std::uint64_t fencing = 0;

    bool operator==(const weight_load_order&) const = default;
};

using rollout_effect = std::variant<weight_load_order>;

/// Settings of the roll-outs of one model in one data centre.
struct rollout_settings {
    /// Share of the replicas that go on serving while others load, 0 to 1. One replica may always load.
    double servingShare = 0.75;
    /// Loads per second that the weight store allows this data centre.
    double loadsPerSecond = 2.0;
    /// Seeds the spread of the retries.
    std::uint64_t seed = 1;
};

/// Brings the replicas of one model in one data centre to the wanted version.
///
/// The holder of the lease orders loads in waves: no more replicas load at once than \c servingShare leaves,
/// and no more often than \c loadsPerSecond. The reports of the replicas are compared with the wanted version on
/// each event, so an order of an earlier holder is corrected as soon as its effect is reported. A load that does
/// not lead to the wanted version is repeated after a back-off. Nothing is ever ordered back: while the store is
/// down, replicas serve what they have.
class weight_rollout {
public:
    static constexpr std::size_t maxReplicas = 1024;
    /// Versions that were wanted before and that replicas may still serve to trainers.
    static constexpr std::size_t maxEarlierVersions = 4;
    static constexpr duration firstBackoff = std::chrono::seconds(2);
    static constexpr duration maxBackoff = std::chrono::minutes(1);
    /// Time within which an accepted order must show in the reports.
    static constexpr duration startTimeout = std::chrono::seconds(10);

    explicit weight_rollout(rollout_settings settings);

    std::vector<rollout_effect> handle(const rollout_event& event, instant now);

    /// Whether \a replica may do training work: it reports the wanted version, or one that was wanted before
    /// and that it was not yet ordered to leave, and it is not loading.
    bool isEligible(std::string_view replica) const;
    /// Whether \a replica serves at all: it reports and is not loading.
    bool isServing(std::string_view replica) const;

    std::size_t replicas() const { return m_replicas.size(); }
    std::size_t serving() const;
    /// Replicas that report the wanted version and are not loading.
    std::size_t finished() const;
    std::uint64_t failures() const { return m_failures; }

private:
    struct event_handler;

    struct replica_state {
        weight_version weights;
        bool isLoading = false;
        /// Version ordered last whose outcome is not reported yet.
        std::optional<weight_version> ordered;
        bool hasStarted = false;
        instant orderedAt;
        std::uint32_t failures = 0;
        instant retryAt;
    };
    using replica_map = std::map<std::string, replica_state, std::less<>>;

    void noteWanted(const weight_version& version);
    void noteReport(const rollout_events::replica_reported& event);
    void noteAnswer(const rollout_events::order_answered& event);
    void noteHolding(const rollout_events::holding_changed& event);
    void closeOrder(replica_state& replica);
    void noteFailure(replica_state& replica);
    void expireOrders();
    void orderNext();
    bool isBusy(const replica_state& replica) const { return replica.isLoading || replica.ordered; }
    std::size_t freeSlots() const;
    duration backoff(std::uint32_t failures);

    rollout_settings m_settings;
    token_bucket m_loads;
    std::optional<weight_version> m_wanted;
    std::deque<weight_version> m_earlier;
    bool m_isHolding = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_random;
    std::uint64_t m_failures = 0;
    replica_map m_replicas;
    instant m_now;
    std::vector<rollout_effect> m_effects;
};

}
