#pragma once

#include "dutycaller.h"
#include "dutypause.h"
#include "journal.h"
#include "topicfollower.h"

#include <rollout/replicapool.h>
#include <rollout/routetable.h>
#include <rollout/scalingplan.h>

namespace ragwortreach {

/// Counts since the start of the process.
struct scaling_counters {
    std::uint64_t ordered = 0;
    std::uint64_t accepted = 0;
    /// Orders of spot replicas when there were none.
    std::uint64_t unavailable = 0;
};

/// Orders the number of replicas of the services with scaling bounds while this daemon holds the lease "scaling".
///
/// What the holder knows of the demand is in the journal, which each daemon follows; nothing is sent between daemons.
class replica_scaler {
public:
    static constexpr std::string_view leaseName = "scaling";

    /// \a list: follower of the replicas' entries, which are in \a pool.
    replica_scaler(duty_caller& caller, lease_agent& leases, const route_table& routes, const replica_pool& pool, const topic_follower& list,
        journal& batches, log& log);

    void setEnabled(bool isEnabled) { m_isEnabled = isEnabled; }
    bool isEnabled() const { return m_isEnabled; }
    /// Sends the order that is due, if any. To be called periodically.
    void tick();
    const scaling_counters& counters() const { return m_counters; }

private:
    void updateHolder();
    scaling_view view(instant now);
    void send(const scaling_order& order);
    void onAnswer(const scaling_order& order, std::uint64_t fencingToken, platform::duty_outcome outcome);
    scaling_outcome outcomeOf(const scaling_order& order, platform::duty_outcome outcome);

    duty_caller& m_caller;
    lease_agent& m_leases;
    const route_table& m_routes;
    const replica_pool& m_pool;
    const topic_follower& m_list;
    journal& m_batches;
    log& m_log;
    scaling_plan m_plan;
    bool m_isEnabled = false;
    bool m_isHolder = false;
    bool m_isCalling = false;
    instant m_lookedAt {};
    /// No order is sent during it, after one without an answer or one call too many.
    duty_pause m_pause;
    scaling_counters m_counters;
};

}
