#pragma once

#include "replicapool.h"
#include "routetable.h"

#include <core/instant.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortreach {

/// What happens to the runs of a model while a replica loads its weights.
enum class load_mode {
    /// The runs finish first.
    Wait,
    /// The runs go on under the new weights.
    Retain,
};

/// Order to a replica to load a version of a model's weights.
struct weight_order {
    std::string replica;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    load_mode mode = load_mode::Retain;
};

/// What a replica says of itself when it is asked.
struct replica_report {
    /// An order is being carried out.
    bool isBusy = false;
    /// Orders that the replica has accepted since its start. It refuses an order that was sent for another count.
    std::uint64_t ordersAccepted = 0;
    std::map<std::string, std::uint64_t, std::less<>> weights;
};

/// How a replica answered an order.
enum class order_outcome {
    /// The replica loads the version.
    Accepted,
    /// The replica has the version.
    Loaded,
    /// The order may still be carried out.
    Unknown,
    /// Another order is under way, or the count of orders was wrong.
    Conflict,
    /// The order came from a holder that has been replaced, or was never valid.
    Rejected,
};

/// Decides which replicas load which version.
///
/// Load pattern: each trainer names a version every few seconds, and only a part of the replicas of a service can load
/// at once without slowing each other down. Loading each version everywhere takes longer than the trainers need for a step. So the replicas of a service are split
/// among its models, and a version is loaded on half of the share of its model. The other half serves on with the
/// version before, which the trainer still takes, and takes the next version when its own one is too old.
/// Replicas that hold the newest version stay with their model.
class weight_plan {
public:
    /// Replicas of a service that may load at once, as a part of them; more slow each other down.
    static constexpr double defaultLoadShare = 0.2;

    explicit weight_plan(double loadShare = defaultLoadShare)
        : m_loadShare(loadShare)
    {
    }

    void setLoadShare(double share) { m_loadShare = share; }

    /// Notes a version that a trainer named.
    void setTarget(std::string_view model, std::uint64_t version, instant now);
    std::uint64_t target(std::string_view model) const;
    /// Notes the oldest version that the newest batch of a model allows.
    void setOldestAllowed(std::string_view model, std::uint64_t version);

    /// Orders that are due now, none of them to the replicas \a barred.
    std::vector<weight_order> plan(const replica_pool& pool, const route_table& routes, std::span<const std::string> barred, instant now);
    void onOutcome(const weight_order& order, order_outcome outcome, instant now);
    /// Forgets the orders under way, for a new holder.
    void clear() { m_loads.clear(); }
    /// Loads that are taken to be under way.
    std::size_t loads() const { return m_loads.size(); }

private:
    struct target_version {
        std::uint64_t version = 0;
        instant namedAt {};
        /// Versions behind the newest one that the trainer takes.
        std::uint64_t allowedLag = 0;
    };
    struct load {
        std::string model;
        std::uint64_t version = 0;
        instant until {};
    };
    using replica_list = std::vector<const replica_pool::replica*>;

    /// An order with the time at which its version was named.
    struct due_order {
        instant namedAt {};
        /// The replica cannot serve its model until the order is carried out.
        bool isUrgent = false;
        weight_order order;
    };

    void addDue(std::vector<due_order>& due, std::string_view model, const replica_list& share, load_mode mode) const;
    void startLoads(std::vector<due_order>& due, std::size_t room, std::vector<weight_order>& orders, instant now);
    std::size_t roomForLoads(const replica_pool& pool, const service_definition& service) const;
    void forgetDone(const replica_pool& pool, instant now);
    std::map<std::string, replica_list> share(const replica_pool& pool, const service_definition& service, instant now) const;
    static const replica_pool::replica* bestFor(std::string_view model, const replica_list& free, instant now);
    bool isSingleVersion(std::string_view model, const route_table& routes) const;

    double m_loadShare;
    std::map<std::string, target_version, std::less<>> m_targets;
    std::map<std::string, load, std::less<>> m_loads;
};

}
