#include "weightorderer.h"

#include "bootclock.h"

#include <platform/requestcodec.h>
#include <support/log.h>
#include <support/logline.h>

namespace ragwortreach {

namespace {

    constexpr int okStatus = 200;
    constexpr duration orderTimeout = std::chrono::milliseconds(700);
    /// Beyond the lease of the holder before; its last order may still be on its way.
    constexpr duration takeoverMargin = std::chrono::milliseconds(300);
    /// An order is on its way for less than this; it has to arrive while the partition is held.
    constexpr duration validityMargin = std::chrono::milliseconds(400);

}

weight_orderer::weight_orderer(http_client& client, const group_member& member, replica_pool& pool, const route_table& routes,
    std::string owner, duration leaseTime, log& log)
    : m_client(client)
    , m_member(member)
    , m_pool(pool)
    , m_routes(routes)
    , m_owner(std::move(owner))
    , m_leaseTime(leaseTime)
    , m_log(log)
{
}

void weight_orderer::setHolder(bool isHolder)
{
    if (isHolder == m_holderSince.has_value())
        return;
    m_plan.clear();
    if (isHolder)
        m_holderSince = bootNow();
    else
        m_holderSince.reset();
    m_log.write(log_line(log_level::Info, "orders_holder").with("is_holder", isHolder).with("generation", m_member.generation()));
}

bool weight_orderer::mayOrder(instant now) const
{
    if (!m_holderSince || now - *m_holderSince < m_leaseTime + takeoverMargin)
        return false;
    return now + validityMargin < m_member.validUntil();
}

void weight_orderer::tick()
{
    if (!mayOrder(bootNow()))
        return;
    for (const weight_order& order : m_plan.plan(m_pool, m_routes, bootNow()))
        prepare(order);
}

void weight_orderer::prepare(const weight_order& order)
{
    http_call_options options;
    options.timeout = orderTimeout;
    m_client.callWhole(parseEndpoint(order.address).value_or(endpoint {}), platform::encodeReportRequest(order.replica), options,
        [this, order](const http_outcome& outcome, const http_response& response) {
            std::optional<replica_report> report;
            if (outcome.code == result_code::Ok && response.status == okStatus)
                report = platform::decodeReport(response.body);
            if (!report || report->isBusy) {
                m_plan.onOutcome(order, order_outcome::Conflict, bootNow());
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
    // The process may have been paused since the plan was made.
    if (!mayOrder(bootNow())) {
        m_plan.onOutcome(order, order_outcome::Conflict, bootNow());
        return;
    }
    ++m_counters.ordersSent;
    http_call_options options;
    options.timeout = orderTimeout;
    const platform::order_authority authority { m_owner, m_member.generation() };
    m_client.callWhole(parseEndpoint(order.address).value_or(endpoint {}),
        platform::encodeWeightOrder(order, report.ordersAccepted, authority), options,
        [this, order](const http_outcome& outcome, const http_response& response) { take(order, outcome, response); });
}

void weight_orderer::take(const weight_order& order, const http_outcome& outcome, const http_response& response)
{
    const order_outcome result = outcome.code == result_code::Ok ? platform::decodeOrderOutcome(response.status) : order_outcome::Unknown;
    switch (result) {
    case order_outcome::Accepted:
    case order_outcome::Loaded:
        ++m_counters.ordersAccepted;
        break;
    case order_outcome::Unknown:
        ++m_counters.ordersUnknown;
        break;
    case order_outcome::Conflict:
    case order_outcome::Rejected:
        ++m_counters.ordersRefused;
        break;
    }
    m_log.write(log_line(log_level::Info, "order_sent")
                    .with("replica", order.replica)
                    .with("model", order.model)
                    .with("version", order.version)
                    .with("generation", m_member.generation())
                    .with("status", outcome.code == result_code::Ok ? response.status : 0)
                    .with("reason", outcome.detail));
    m_plan.onOutcome(order, result, bootNow());
}

}
