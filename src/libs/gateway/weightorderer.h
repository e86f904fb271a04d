#pragma once

#include "groupmember.h"

#include <net/httpclient.h>
#include <rollout/replicapool.h>
#include <rollout/routetable.h>
#include <rollout/weightplan.h>

#include <optional>
#include <string>

namespace ragwortreach {

class log;

struct weight_counters {
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t ordersUnknown = 0;
    std::uint64_t ordersRefused = 0;
};

/// Sends the orders of the weight plan while this daemon holds the partition of orders.
class weight_orderer {
public:
    weight_orderer(http_client& client, const group_member& member, replica_pool& pool, const route_table& routes, std::string owner,
        duration leaseTime, log& log);

    weight_plan& plan() { return m_plan; }
    /// Notes whether this daemon holds the partition of orders.
    void setHolder(bool isHolder);
    void tick();
    const weight_counters& counters() const { return m_counters; }

private:
    bool mayOrder(instant now) const;
    /// Asks the replica how many orders it has accepted, then sends the order for that count.
    void prepare(const weight_order& order);
    void send(const weight_order& order, const replica_report& report);
    void take(const weight_order& order, const http_outcome& outcome, const http_response& response);

    http_client& m_client;
    const group_member& m_member;
    replica_pool& m_pool;
    const route_table& m_routes;
    std::string m_owner;
    duration m_leaseTime;
    log& m_log;
    weight_plan m_plan;
    std::optional<instant> m_holderSince;
    weight_counters m_counters;
};

}
