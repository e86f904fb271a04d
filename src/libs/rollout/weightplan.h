#pragma once

#include "replicapool.h"
#include "routetable.h"

#include <core/instant.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortreach {

/// How a replica treats the runs of a model when it loads new weights.
enum class load_mode {
    /// The runs finish before the load.
    Wait,
    /// The runs continue with the new weights.
    Retain,
};

/// Weight load order: tells a replica to load a version of a model's weights.
struct weight_order {
    std::string replica;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::Retain;
};

/// State that a replica reports on request.
struct replica_report {
    /// A weight load order is being carried out.
    bool isBusy = false;
    /// Number of orders that the replica has accepted since its start. It refuses an order that expects another number.
    std::uint64_t ordersAccepted = 0;
    std::map<std::string, std::uint64_t, std::less<>> weights;
};

/// Answer of a replica to a weight load order.
enum class order_outcome {
    /// The replica loads the version.
    Accepted,
    /// The replica has loaded the version.
    Loaded,
    /// No usable answer; the order may still be carried out.
    Unknown,
    /// Not sent: the replica reports that it carries out an order.
    Busy,
    /// Not sent: the replica gave no report.
    Unreachable,
    /// Another order is being carried out, or the expected number of orders was wrong.
    Conflict,
    /// The sender has been replaced as the holder, or the order is invalid.
    Rejected,
};

/// Decides which replicas load which version.
///
/// Each trainer names a new version every few seconds, and only a fraction of the replicas of a service can load
/// weights at the same time without slowing each other down. Loading each version on all replicas takes longer than a
/// training step. So the replicas of a service are divided among its models, those with and those without a limit of
/// requests each evenly, and a version is loaded on half of the replicas of its model. The other half continues to serve
/// the previous version, which the trainer still accepts, and gets a newer version when its own is too old. Replicas with
/// the newest version stay with their model.
///
/// A load is in progress until the replica reports its end, and the time that loads take is learned from these reports.
/// Replicas that leave do not reduce the number of loads that may run at the same time: those that remain need theirs the
/// sooner.
class weight_plan {
public:
    /// Fraction of the replicas of a service that may load at the same time; more would slow each other down.
    static constexpr double defaultLoadShare = 0.2;
    /// Number of loads that may run at the same time in any service.
    static constexpr std::size_t minLoadLimit = 2;

    explicit weight_plan(double loadShare = defaultLoadShare);

    void setLoadShare(double share) { m_loadShare = share; }

    /// Sets the newest version of a model that its trainer named; lower versions are ignored.
    void setTarget(std::string_view model, std::uint64_t version, instant now);
    /// Newest version of \a model; 0 while none was named.
    std::uint64_t target(std::string_view model) const;
    /// Sets the oldest version that the newest batch of a model allows.
    void setOldestAllowed(std::string_view model, std::uint64_t version);

    /// Orders to send now, none of them to the replicas in \a barred. An order to a replica whose load should have ended is
    /// returned again; its report then shows whether it has.
    std::vector<weight_order> plan(const replica_pool& pool, const route_table& routes, std::span<const std::string> barred, instant now);
    /// Notes the answer to an order that plan() returned.
    void onOutcome(const weight_order& order, order_outcome outcome, instant now);
    /// Forgets the loads in progress; to be called when the holder changes.
    void clear();
    /// Number of loads that are considered in progress.
    std::size_t loads() const { return m_loads.size(); }

private:
    struct target_version {
        std::uint64_t version = 0;
        instant namedAt {};
        /// Number of versions by which text may lag behind the newest one.
        std::uint64_t allowedLag = 0;
    };
    struct load {
        std::string model;
        std::uint64_t version = 0;
        /// Time of the next check.
        instant until {};
        std::optional<instant> acceptedAt;
        /// The load was still in progress when it was checked.
        bool isLate = false;
    };
    using replica_list = std::vector<const replica_pool::replica*>;

    /// Order that may be sent, with the time at which its version was named.
    struct pending_order {
        instant namedAt {};
        /// The version of the replica is too old to serve the model.
        bool isUrgent = false;
        weight_order order;
    };

    void addPendingOrders(std::vector<pending_order>& pending, std::string_view model, const replica_list& share, load_mode mode, instant now) const;
    void startLoads(std::vector<pending_order>& pending, std::size_t room, std::vector<weight_order>& orders, instant now);
    void checkLoads(const replica_pool& pool, const route_table& routes, std::span<const std::string> barred, std::vector<weight_order>& orders, instant now);
    std::size_t roomForLoads(const replica_pool& pool, const service_definition& service);
    void forgetFinishedLoads(const replica_pool& pool, instant now);
    void passOver(const std::string& replica, instant until);
    void learnLoadTime(const load& ended, instant now);
    bool isPaused(std::string_view replica, instant now) const;
    load_mode modeFor(std::string_view model, const route_table& routes) const;
    std::map<std::string, replica_list> assignReplicas(const replica_pool& pool, const service_definition& service, instant now) const;
    static void assignInTurn(replica_list free, std::span<const std::string> models, std::map<std::string, replica_list>& parts, instant now);
    static const replica_pool::replica* bestFor(std::string_view model, const replica_list& free, instant now);
    bool isSingleVersion(std::string_view model, const route_table& routes) const;

    double m_loadShare;
    std::map<std::string, target_version, std::less<>> m_targets;
    std::map<std::string, load, std::less<>> m_loads;
    /// Times until which replicas that refused an order or gave no report get none.
    std::map<std::string, instant, std::less<>> m_pausedUntil;
    /// Most replicas that each service had.
    std::map<std::string, std::size_t, std::less<>> m_mostReplicas;
    /// Time after which the end of a load is expected.
    duration m_loadTime;
};

}
