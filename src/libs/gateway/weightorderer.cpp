#include "weightorderer.h"

#include "answernotes.h"
#include "bootclock.h"

#include <platform/requestcodec.h>
#include <support/log.h>
#include <support/logline.h>

#include <utility>

namespace ragwortreach {

namespace {

    constexpr int okStatus = 200;
    constexpr duration reportTimeout = std::chrono::milliseconds(700);
    /// Largest report of a replica, or answer to an order.
    constexpr std::size_t maxAnswerBytes = std::size_t { 256 } * 1024;

}

weight_orderer::weight_orderer(http_client& client, lease_agent& leases, replica_pool& pool, replica_gate& gate, const route_table& routes,
    std::string owner, log& log)
    : m_client(client)
    , m_leases(leases)
    , m_pool(pool)
    , m_gate(gate)
    , m_routes(routes)
    , m_owner(std::move(owner))
    , m_log(log)
{
}

void weight_orderer::updateHolder()
{
    const bool isHolder = m_leases.isHeld(leaseName);
    if (isHolder == std::exchange(m_isHolder, isHolder))
        return;
    m_plan.clear();
    m_log.write(log_line(log_level::Info, "orders_holder").with("is_holder", isHolder).with("fencing", m_leases.fencingToken(leaseName)));
}

void weight_orderer::tick()
{
    const instant now = bootNow();
    if (!m_leases.mayAct(leaseName, now + lease_agent::maxOrderTransitTime))
        return;
    for (const weight_order& order : m_plan.plan(m_pool, m_routes, m_leases.barredReplicas(leaseName, now), now))
        queryReplica(order);
}

void weight_orderer::queryReplica(const weight_order& order)
{
    http_call_options options;
    options.timeout = reportTimeout;
    options.bodyLimit = maxAnswerBytes;
    m_client.callBuffered(parseEndpoint(order.address).value_or(endpoint {}), platform::encodeReportRequest(order.replica), options,
        [this, order](const http_outcome& outcome, const http_response& response) {
            noteResponse(m_gate, m_pool.instanceOf(order.replica), {}, response);
            std::optional<replica_report> report;
            if (outcome.code == result_code::Ok && response.status == okStatus)
                report = platform::decodeReport(response.body);
            if (!report || report->isBusy) {
                m_plan.onOutcome(order, report ? order_outcome::Busy : order_outcome::Unreachable, bootNow());
                return;
            }
            send(order, *report);
        });
}

void weight_orderer::send(const weight_order& order, const replica_report& report)
{
    const auto held = report.weights.find(order.model);
    if (held != report.weights.end() && held->second >= order.version) {
        m_pool.noteVersion(order.replica, order.model, held->second);
        m_plan.onOutcome(order, order_outcome::Loaded, bootNow());
        return;
    }
    // The process may have been suspended since the plan was made.
    if (!m_leases.mayAct(leaseName, bootNow() + lease_agent::maxOrderTransitTime)) {
        m_plan.onOutcome(order, order_outcome::Conflict, bootNow());
        return;
    }
    ++m_counters.ordersSent;
    m_leases.noteOrder(order.replica, bootNow());
    http_call_options options;
    options.timeout = lease_agent::maxOrderTransitTime;
    options.bodyLimit = maxAnswerBytes;
    const platform::order_authority authority { m_owner, m_leases.fencingToken(leaseName) };
    m_client.callBuffered(parseEndpoint(order.address).value_or(endpoint {}),
        platform::encodeWeightOrder(order, report.ordersAccepted, authority), options,
        [this, order](const http_outcome& outcome, const http_response& response) { onOrderResponse(order, outcome, response); });
}

void weight_orderer::onOrderResponse(const weight_order& order, const http_outcome& outcome, const http_response& response)
{
    noteResponse(m_gate, m_pool.instanceOf(order.replica), {}, response);
    const order_outcome result = outcome.code == result_code::Ok ? platform::decodeOrderOutcome(response.status) : order_outcome::Unknown;
    switch (result) {
    case order_outcome::Accepted:
    case order_outcome::Loaded:
        ++m_counters.ordersAccepted;
        break;
    case order_outcome::Unknown:
        ++m_counters.ordersUnknown;
        break;
    case order_outcome::Busy:
    case order_outcome::Unreachable:
    case order_outcome::Conflict:
    case order_outcome::Rejected:
        ++m_counters.ordersRefused;
        break;
    }
    m_log.write(log_line(log_level::Info, "order_sent")
                    .with("replica", order.replica)
                    .with("model", order.model)
                    .with("version", order.version)
                    .with("fencing", m_leases.fencingToken(leaseName))
                    .with("status", outcome.code == result_code::Ok ? response.status : 0)
                    .with("reason", outcome.detail));
    m_plan.onOutcome(order, result, bootNow());
}

}
