#include "factexchange.h"

#include "bootclock.h"

#include <core/overloaded.h>
#include <rollout/visibleshare.h>
#include <support/log.h>
#include <support/logline.h>
#include <wire/factcodec.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <random>
#include <utility>

namespace ragwortreach {

namespace {

    /// Time for which a scheduler may use a permit.
    constexpr duration permitTime = std::chrono::milliseconds(500);
    constexpr duration permitUsePeriod = std::chrono::seconds(5);

}

fact_exchange::fact_exchange(boost::asio::io_context& context, shared_log& log, replica_pool& pool, route_table& routes, member local, const std::string& instance,
    ragwortreach::log& logger, std::function<void()> onPermit)
    : m_context(context)
    , m_pool(pool)
    , m_routes(routes)
    , m_logger(logger)
    , m_onPermit(std::move(onPermit))
    , m_peers(local.dataCentre, std::random_device()())
    , m_agent(local.vm, pool.limits())
    , m_spread(std::random_device()())
    , m_link(context, log, std::move(local), instance,
          { [this] { updateDaemons(); }, [this](const std::string& vm, std::string_view payload) { receive(vm, payload); } })
{
}

void fact_exchange::updateDaemons()
{
    m_agent.setDaemons(owner_map(m_link.view()), [this](const replica_instance& replica) { return sightOf(replica); });
    m_spread.setDaemons(m_link.others());
    m_peers.setPeers(m_link.peers());
    if (m_streamHandlers.onDaemons)
        m_streamHandlers.onDaemons(owner_map(m_link.view()));
}

permit_agent::replica_sight fact_exchange::sightOf(const replica_instance& replica) const
{
    const replica_pool::replica* const known = m_pool.find(replica.id);
    const std::string dataCentre = known ? known->entry.dataCentre : std::string();
    return { dataCentre, visibleShare(dataCentre, daemons(), m_link.lostDataCentres(bootNow())) };
}

void fact_exchange::receive(const std::string& vm, std::string_view payload)
{
    const instant now = bootNow();
    const std::optional<fact_message> message = decodeFactMessage(payload, now);
    if (!message) {
        ++m_counters.malformed;
        return;
    }
    for (const fact& item : message->facts) {
        ++m_counters.received;
        learn(item, vm);
    }
    if (message->stream && m_streamHandlers.onMessage)
        m_streamHandlers.onMessage(vm, *message->stream);
    if (!message->permit)
        return;
    m_agent.onMessage(vm, *message->permit, now);
    executeEffects();
}

bool fact_exchange::merge(const fact& item, instant now)
{
    return std::visit(overloaded {
                          [this, now](const replica_limit& limit) { return m_pool.limits().merge(limit, now); },
                          [this, now](const request_crash& crash) {
                              m_pool.noteCrash(crash.replica, crash.at);
                              return m_quarantine.merge(crash, now);
                          },
                          [this, now](const request_success& success) { return m_quarantine.merge(success, now); },
                          [this](const replica_leaving& leaving) { return m_pool.noteLeaving(leaving); },
                          [this](const configuration_read& read) { return m_routes.noteRead(read); },
                          [this, now](const access_statement& statement) { return mergeAccess(statement, now); },
                      },
        item);
}

/// A daemon that lost its paths may not be the only one.
bool fact_exchange::mergeAccess(const access_statement& statement, instant now)
{
    if (!m_peers.merge(statement))
        return false;
    if (!statement.hasAccess && statement.vm != m_link.view().local().vm)
        m_access.noteOtherLost(now);
    return true;
}

void fact_exchange::learn(const fact& item, std::string_view source)
{
    const instant now = bootNow();
    if (!merge(item, now))
        return;
    ++m_counters.learned;
    m_spread.add(item, source == answerSource || source == logSource);
    scheduleEffects();
    log(item, source, now);
}

void fact_exchange::log(const fact& item, std::string_view source, instant now)
{
    const duration age = now - std::visit(overloaded {
                                              [](const replica_limit& limit) { return limit.statedAt; },
                                              [](const request_crash& crash) { return crash.at; },
                                              [](const request_success& success) { return success.at; },
                                              [](const replica_leaving& leaving) { return leaving.statedAt; },
                                              [](const configuration_read& read) { return read.readAt; },
                                              [](const access_statement& statement) { return statement.statedAt; },
                                          },
                             item);
    log_line line = std::visit(overloaded {
                                   [](const replica_limit& limit) {
                                       return log_line(log_level::Info, "replica_limited").with("replica", limit.replica.id).with("per_second", limit.perSecond.value_or(-1));
                                   },
                                   [this, now](const request_crash& crash) {
                                       return log_line(log_level::Warning, "replica_crashed")
                                           .with("replica", crash.replica.id)
                                           .with("digest", toString(crash.request))
                                           .with("standing", toString(m_quarantine.standingOf(crash.request, now)));
                                   },
                                   [](const request_success& success) { return log_line(log_level::Info, "request_cleared").with("digest", toString(success.request)); },
                                   [](const replica_leaving& leaving) { return log_line(log_level::Info, "replica_leaving").with("replica", leaving.replica.id); },
                                   [](const configuration_read& read) { return log_line(log_level::Info, "configuration_known").with("configuration", read.version); },
                                   [](const access_statement& statement) { return log_line(log_level::Info, "access_stated").with("of_vm", statement.vm).with("has_access", statement.hasAccess); },
                               },
        item);
    m_logger.write(line.with("source", source).with("age_us", age.count()));
}

void fact_exchange::noteLimit(const replica_instance& replica, std::optional<double> perSecond)
{
    learnFromAnswer(replica_limit { replica, perSecond, bootNow() });
}

void fact_exchange::noteLeaving(const replica_instance& replica)
{
    learnFromAnswer(replica_leaving { replica, bootNow() });
}

void fact_exchange::noteUnreached(const replica_instance& replica, access_failure failure, instant begunAt)
{
    m_access.noteFailure(replica.id, failure, begunAt);
}

permit_number fact_exchange::ask(std::vector<replica_instance> replicas, duration maxWait, std::function<void(const permit_outcome&)> onOutcome)
{
    const permit_number number = m_agent.ask(std::move(replicas), maxWait, bootNow());
    m_waiting.emplace(number, std::move(onOutcome));
    scheduleEffects();
    return number;
}

void fact_exchange::cancel(permit_number number)
{
    m_agent.cancel(number);
    m_waiting.erase(number);
}

/// Asks for the permits that schedulers want, one at a time for each kind of work.
void fact_exchange::askForSchedulers(instant now)
{
    for (const permit_want& want : m_pool.takeWants()) {
        if (m_wants.contains(want))
            continue;
        const permit_number number = m_agent.ask(m_pool.limitedReplicas(want.criteria(), now), duration::zero(), now);
        m_wants.emplace(want, number);
        m_waiting.emplace(number, [this, want](const permit_outcome& outcome) { onSchedulerPermit(want, outcome); });
    }
}

/// The next permit is asked for at once if the scheduler wants it.
void fact_exchange::onSchedulerPermit(const permit_want& want, const permit_outcome& outcome)
{
    m_wants.erase(want);
    if (outcome.replica.empty())
        return;
    const instant now = bootNow();
    m_pool.addPermit(outcome.replica, now + permitTime);
    m_onPermit();
    askForSchedulers(now);
    scheduleEffects();
}

void fact_exchange::tick()
{
    const instant now = bootNow();
    m_link.tick();
    m_pool.limits().forgetOld(now);
    m_quarantine.forgetOld(now);
    m_pool.forgetOldLeaving(now);
    m_peers.forgetOld(now);
    askForSchedulers(now);
    m_agent.tick(now);
    executeEffects();
    logPermitUse(now);
    if (m_spread.isSyncDue(now))
        send(m_spread.takeSync(allFacts(), now));
}

std::vector<fact> fact_exchange::allFacts() const
{
    std::vector<fact> all;
    if (m_routes.newestRead().version != 0)
        all.emplace_back(m_routes.newestRead());
    for (const replica_limit& limit : m_pool.limits().all())
        all.emplace_back(limit);
    for (const request_crash& crash : m_quarantine.crashes())
        all.emplace_back(crash);
    for (const request_success& success : m_quarantine.successes())
        all.emplace_back(success);
    for (const replica_leaving& leaving : m_pool.leaving())
        all.emplace_back(leaving);
    for (const access_statement& statement : m_peers.statements())
        all.emplace_back(statement);
    return all;
}

void fact_exchange::send(const std::string& vm, const stream_message& message)
{
    m_link.send(vm, encodeFactMessage({ {}, std::nullopt, message }, bootNow()));
}

void fact_exchange::send(std::span<const fact_delivery> deliveries)
{
    for (const fact_delivery& delivery : deliveries)
        m_link.send(delivery.vm, encodeFactMessage({ delivery.facts, std::nullopt }, bootNow()));
}

/// Logs how much of the limits of the replicas that this daemon keeps was used.
void fact_exchange::logPermitUse(instant now)
{
    const duration period = now - m_permitUseLoggedAt;
    if (period < permitUsePeriod)
        return;
    m_permitUseLoggedAt = now;
    for (const permit_use& use : m_agent.takeUse()) {
        m_logger.write(log_line(log_level::Info, "permits_given")
                           .with("replica", use.replica.id)
                           .with("per_second", use.perSecond)
                           .with("given", use.given)
                           .with("denied", use.denied)
                           .with("period_us", period.count()));
    }
}

void fact_exchange::scheduleEffects()
{
    if (std::exchange(m_areEffectsScheduled, true))
        return;
    boost::asio::post(m_context, [this] {
        m_areEffectsScheduled = false;
        executeEffects();
    });
}

void fact_exchange::executeEffects()
{
    for (const permit_effect& effect : m_agent.takeEffects()) {
        std::visit(overloaded {
                       [this](const send_permit_message& sent) { m_link.send(sent.vm, encodeFactMessage({ {}, sent.message }, bootNow())); },
                       [this](const permit_granted& granted) { finish(granted.number, { granted.replica, granted.wait }); },
                       [this](const permit_denied& denied) { finish(denied.number, { {}, denied.wait }); },
                   },
            effect);
    }
    send(m_spread.takeNews());
}

void fact_exchange::finish(permit_number number, const permit_outcome& outcome)
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
        return;
    const std::function<void(const permit_outcome&)> onOutcome = std::move(found->second);
    m_waiting.erase(found);
    onOutcome(outcome);
}

}
