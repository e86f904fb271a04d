#pragma once

#include <net/httpclient.h>
#include <rollout/leaseagent.h>
#include <rollout/replicagate.h>
#include <rollout/replicapool.h>
#include <rollout/routetable.h>
#include <rollout/weightplan.h>

#include <string>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct weight_counters {
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t ordersUnknown = 0;
    std::uint64_t ordersRefused = 0;
};

/// Sends the weight load orders of the weight plan to replicas while this daemon holds the lease "orders".
class weight_orderer {
public:
    static constexpr std::string_view leaseName = "orders";

    weight_orderer(http_client& client, lease_agent& leases, replica_pool& pool, replica_gate& gate, const route_table& routes, std::string owner, log& log);

    weight_plan& plan() { return m_plan; }
    /// To be called when the lease may have another holder. Clears the plan when this daemon became the holder or ceased to
    /// be it.
    void updateHolder();
    /// Sends the orders that are due, if this daemon may act on the lease. To be called periodically.
    void tick();
    const weight_counters& counters() const { return m_counters; }

private:
    /// Asks the replica how many orders it has accepted, then sends the order, which is valid for that count only.
    void queryReplica(const weight_order& order);
    void send(const weight_order& order, const replica_report& report);
    void onOrderResponse(const weight_order& order, const http_outcome& outcome, const http_response& response);

    http_client& m_client;
    lease_agent& m_leases;
    replica_pool& m_pool;
    replica_gate& m_gate;
    const route_table& m_routes;
    std::string m_owner;
    log& m_log;
    weight_plan m_plan;
    bool m_isHolder = false;
    weight_counters m_counters;
};

}
