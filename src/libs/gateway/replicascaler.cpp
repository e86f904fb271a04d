#include "replicascaler.h"

#include "bootclock.h"

#include <rollout/replicademand.h>
#include <support/log.h>
#include <support/logline.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration lookInterval = std::chrono::milliseconds(500);
    /// Replicas and batches that were confirmed longer ago are not known. A read of the log waits for up to a second when
    /// nothing is written.
    constexpr duration maxKnowledgeAge = std::chrono::seconds(4);

    /// The platform compares the fencing tokens of the orders for a service in a data centre, of both kinds of replicas.
    duty_subject subjectOf(const std::string& service, const std::string& dataCentre)
    {
        return { std::string(replica_scaler::leaseName), "scale/" + service + '/' + dataCentre };
    }

}

replica_scaler::replica_scaler(duty_caller& caller, lease_agent& leases, const route_table& routes, const replica_pool& pool, const topic_follower& list,
    journal& batches, log& log)
    : m_caller(caller)
    , m_leases(leases)
    , m_routes(routes)
    , m_pool(pool)
    , m_list(list)
    , m_batches(batches)
    , m_log(log)
{
}

void replica_scaler::tick()
{
    updateHolder();
    const instant now = bootNow();
    if (!m_isHolder || now - m_lookedAt < lookInterval)
        return;
    m_lookedAt = now;
    const scaling_view known = view(now);
    m_plan.observe(known);
    if (m_isCalling || !m_pause.isOver(now))
        return;
    const std::optional<scaling_order> order = m_plan.next(known);
    if (order)
        send(*order);
}

void replica_scaler::updateHolder()
{
    const bool isHolder = m_isEnabled && m_leases.isHeld(leaseName);
    if (isHolder == std::exchange(m_isHolder, isHolder))
        return;
    m_plan.clear();
    m_pause.reset();
    m_log.write(log_line(log_level::Info, "scaling_holder").with("is_holder", isHolder).with("fencing", m_leases.fencingToken(leaseName)));
}

scaling_view replica_scaler::view(instant now)
{
    const route_configuration& configuration = m_routes.configuration();
    scaling_view result;
    result.now = now;
    result.services = configuration.services;
    result.isListKnown = m_list.isReady() && now - m_list.confirmedAt() < maxKnowledgeAge;
    std::set<std::pair<std::string, std::string>> sites;
    for (const service_definition& service : configuration.services) {
        if (!service.scaling)
            continue;
        for (const std::pair<const std::string, double>& price : service.scaling->dataCentrePrices)
            sites.emplace(service.name, price.first);
    }
    for (const std::pair<const std::string, replica_pool::replica>& item : m_pool.replicas()) {
        const replica_entry& entry = item.second.entry;
        result.replicas.push_back({ { entry.service, entry.dataCentre, entry.isSpot }, item.second.isLeaving() });
        sites.emplace(entry.service, entry.dataCentre);
    }
    if (m_batches.isReady() && now - m_batches.confirmedAt() < maxKnowledgeAge)
        result.demands = replicaDemands(configuration, m_batches.ledger(), m_pool, m_batches.fetchBatchesOf(scaledModels(configuration)));
    // Batches ask for no more replicas than are listed, so one that was released would not be ordered again.
    for (std::pair<const std::string, service_demand>& demand : result.demands)
        demand.second.isComplete = false;
    for (const std::pair<std::string, std::string>& site : sites) {
        if (!m_caller.mayCall(subjectOf(site.first, site.second)))
            result.barred.insert(site);
    }
    return result;
}

void replica_scaler::send(const scaling_order& order)
{
    // An order that is repeated may be for a data centre that is no longer in the view.
    if (!m_caller.mayCall(subjectOf(order.group.service, order.group.dataCentre)))
        return;
    m_isCalling = true;
    ++m_counters.ordered;
    m_caller.call(
        subjectOf(order.group.service, order.group.dataCentre), [&order](const platform::duty_authority& authority) { return platform::encodeScaling(order, authority); },
        [this, order, token = m_leases.fencingToken(leaseName)](platform::duty_outcome outcome) { onAnswer(order, token, outcome); });
}

void replica_scaler::onAnswer(const scaling_order& order, std::uint64_t fencingToken, platform::duty_outcome outcome)
{
    m_isCalling = false;
    m_log.write(log_line(log_level::Info, "replicas_ordered")
                    .with("service", order.group.service)
                    .with("data_centre", order.group.dataCentre)
                    .with("spot", order.group.isSpot)
                    .with("count", order.count)
                    .with("fencing", fencingToken)
                    .with("outcome", static_cast<int>(outcome)));
    // The answer to an order of an earlier term says nothing of this one.
    if (!m_isHolder || fencingToken != m_leases.fencingToken(leaseName))
        return;
    m_plan.onOutcome(order, outcomeOf(order, outcome), bootNow());
}

scaling_outcome replica_scaler::outcomeOf(const scaling_order& order, platform::duty_outcome outcome)
{
    switch (outcome) {
    case platform::duty_outcome::Done:
        ++m_counters.accepted;
        m_pause.reset();
        return scaling_outcome::Accepted;
    case platform::duty_outcome::Refused:
        if (order.group.isSpot) {
            ++m_counters.unavailable;
            return scaling_outcome::NotAvailable;
        }
        m_caller.giveUpToken(subjectOf(order.group.service, order.group.dataCentre));
        return scaling_outcome::Refused;
    case platform::duty_outcome::TooMany:
    case platform::duty_outcome::Unknown:
        break;
    }
    m_pause.noteFailure(bootNow());
    return outcome == platform::duty_outcome::Unknown ? scaling_outcome::Unknown : scaling_outcome::Refused;
}

}
