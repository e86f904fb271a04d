#pragma once

#include "routeconfiguration.h"
#include "scalingorder.h"

#include <core/instant.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Replicas of a service that are busy.
struct service_demand {
    /// With calls of customers.
    double live = 0;
    /// With items of batches.
    double batch = 0;
    /// False when there may be more demand than is known.
    bool isComplete = false;
};

struct listed_replica {
    replica_group group;
    bool isDraining = false;
};

/// What is known when orders are decided on.
struct scaling_view {
    instant now {};
    /// Services of the configuration; those without scaling bounds are left out of account.
    std::span<const service_definition> services;
    /// Whether the list of replicas is up to date.
    bool isListKnown = false;
    std::vector<listed_replica> replicas;
    /// By service; a service without an entry has an unknown demand.
    std::map<std::string, service_demand, std::less<>> demands;
    /// Services and data centres for which no order may be sent now.
    std::set<std::pair<std::string, std::string>> barred;
};

/// Decides how many replicas of each service are ordered in each data centre.
///
/// Load pattern: batches come in waves that return within a minute; replicas take seconds to start and are billed by the
/// second; all spot replicas of a data centre may be lost at once, and none may be available for a while after that.
/// The number of replicas follows the peak of the demand of the last minute with a quarter on top: it grows at once, and
/// shrinks in small steps. Regular replicas serve the customers and the part of the load that is always there.
class scaling_plan {
public:
    /// Replicas for each busy one: a quarter is left for load that grows while new replicas start.
    static constexpr double headroom = 1.25;
    /// No order is given before the demand and the list were observed for this time.
    static constexpr duration observationTime = std::chrono::seconds(10);
    /// The number of replicas shrinks only when the load was lower for this time, or for several start times if that is longer.
    static constexpr duration quietTime = std::chrono::seconds(60);
    /// Time without spot orders for a service after one was refused or spot replicas were reclaimed.
    static constexpr duration spotPause = std::chrono::seconds(60);
    /// Time for which a data centre gets no more than the minimum after an order did not bring lost replicas back.
    static constexpr duration avoidanceTime = std::chrono::seconds(60);
    /// Load that is always there is the least of this time.
    static constexpr duration baseTime = std::chrono::minutes(10);
    /// Time that is added to the start time until ordered replicas have to be listed.
    static constexpr duration settleMargin = std::chrono::seconds(5);

    /// Forgets everything, since this daemon became the holder or ceased to be it.
    void clear();
    /// Notes demand and replicas; to be called periodically, also while an order has no answer.
    void observe(const scaling_view& view);
    /// Order to send next, if any. To be called after observe() of the same view, while no order is under way.
    std::optional<scaling_order> next(const scaling_view& view);
    void onOutcome(const scaling_order& order, scaling_outcome outcome, instant now);

private:
    struct sample {
        instant at {};
        double live = 0;
        double batch = 0;
        /// Sum of both as it was observed, which may be a short peak.
        double highest = 0;
    };
    struct group_state {
        std::uint32_t listed = 0;
        /// Number that the platform is thought to keep: the last order, or what was listed before there was one.
        std::uint32_t ordered = 0;
        /// Time until which the last order may not show in the list yet.
        instant settlesAt {};
        /// The last order replaced lost replicas, and had the number of the one before.
        bool isRepeated = false;
        /// Since when another number was listed than ordered.
        std::optional<instant> differsSince;
    };
    struct service_state {
        /// The last demands as they were observed.
        std::deque<service_demand> looks;
        std::deque<sample> samples;
        /// Time from an order until the list has to show it.
        duration settleTime {};
        instant observedSince {};
        instant observedAt {};
        instant spotBlockedUntil {};
        instant raisedAt {};
        instant loweredAt {};
        /// Time at which replicas were last missing, by data centre.
        std::map<std::string, instant, std::less<>> lostAt;
        /// Data centres that did not bring lost replicas back, and until when they get no more than the minimum.
        std::map<std::string, instant, std::less<>> avoidedUntil;
        /// Replicas that were found when the demand was not known completely; they may all be needed.
        std::optional<std::uint32_t> found;
    };
    /// Replicas of a service in one data centre, with those that start.
    struct site {
        std::string dataCentre;
        double price = 1;
        std::uint32_t regular = 0;
        std::uint32_t spot = 0;
        /// Of both kinds, without those that start.
        std::uint32_t listed = 0;
        /// No order may be sent now.
        bool isBarred = false;
        /// It gets no more than the minimum.
        bool isAvoided = false;
        std::uint32_t total() const { return regular + spot; }
        bool isUsable() const { return !isBarred && !isAvoided; }
    };
    struct service_need {
        std::uint32_t total = 0;
        /// Number below which no replicas are released: short peaks count, too.
        std::uint32_t kept = 0;
        /// For customers, in regular replicas.
        std::uint32_t live = 0;
        /// For customers and the load that is always there, in regular replicas.
        std::uint32_t base = 0;
    };
    struct service_view {
        const service_definition& definition;
        const scaling_bounds& bounds;
        std::vector<site> sites;
        service_need need;
        bool isComplete = false;
        instant now {};

        /// Replicas that serve or will serve; what an avoided data centre was ordered to start is not relied upon.
        std::uint32_t total() const;
        std::uint32_t regular() const;
        std::uint32_t room(const site& site) const;
    };

    static duration settleTime(const scaling_bounds& bounds) { return bounds.startTime + settleMargin; }
    static duration lowerDelay(const scaling_bounds& bounds);
    static std::set<std::string> dataCentresOf(const service_definition& service, const scaling_view& view);
    static sample smoothed(const service_state& state, instant now);
    void noteDemand(const service_definition& service, const scaling_view& view);
    void noteReplicas(const service_definition& service, const scaling_view& view);
    void noteGroup(const replica_group& group, std::uint32_t listed, service_state& state, instant now);
    bool isObserved(const service_definition& service, instant now) const;
    std::uint32_t expected(const replica_group& group, instant now) const;
    std::uint32_t orderedOf(std::string_view service) const;
    service_need needOf(const service_definition& service, const service_state& state, bool isComplete, std::size_t sites) const;
    service_view viewOf(const service_definition& service, const scaling_view& view);
    std::optional<scaling_order> planService(const service_view& service);
    std::optional<scaling_order> repeatLost(const service_view& service) const;
    std::optional<scaling_order> raise(const service_view& service) const;
    std::optional<scaling_order> lower(const service_view& service) const;
    bool mayLower(const service_view& service) const;
    std::uint32_t lowerStep(const service_view& service, const site& site, bool isSpot) const;
    std::optional<scaling_order> raiseGroup(const service_view& service, const site& site, bool isSpot, std::uint32_t added) const;

    std::map<std::string, service_state, std::less<>> m_services;
    std::map<replica_group, group_state> m_groups;
    /// Since when the list of replicas has been up to date and not empty.
    std::optional<instant> m_listedSince;
    /// Order without an answer, which is repeated.
    std::optional<scaling_order> m_unanswered;
};

}
