#include "daemonhost.h"

#include "adminroutes.h"
#include "callerroutes.h"
#include "callproxy.h"
#include "effectexecutor.h"
#include "hostmetrics.h"
#include "problem.h"
#include "timeline.h"

#include <core/cataloguereader.h>
#include <core/daemoncontext.h>
#include <core/daemoncore.h>
#include <net/connectionguard.h>
#include <net/httpclient.h>
#include <net/httpserver.h>
#include <support/log.h>
#include <support/settings.h>
#include <wire/gossipsocket.h>
#include <wire/peerchannel.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace ragwortreach {

namespace {

    constexpr std::chrono::milliseconds tickPeriod { 50 };
    /// Time that the final answers at the end of a drain get to reach their callers.
    constexpr std::chrono::milliseconds finalAnswerTime { 300 };
    /// Large bodies that are held for others go on to replicas within seconds.
    constexpr std::chrono::seconds memoryRetryDelay { 1 };
    /// Numbers of peer requests and of requests about batches and edits start here; those of calls start at 1.
    constexpr request_number firstRequestNumber = request_number { 1 } << 40U;

    instant monotonicNow()
    {
        const std::chrono::steady_clock::duration sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
        return instant(std::chrono::duration_cast<duration>(sinceBoot));
    }

    std::uint64_t wallMilliseconds()
    {
        const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    daemon_identity identityOf(const daemon_settings& settings)
    {
        daemon_identity identity;
        identity.local.vm = settings.vm;
        identity.local.instance.startMilliseconds = wallMilliseconds();
        identity.local.dataCentre = settings.dataCentre;
        identity.local.region = settings.region;
        identity.local.addresses = { settings.listen.gossip, settings.listen.peer, settings.listen.admin, settings.listen.caller };
        identity.seed = settings.seed;
        return identity;
    }

    endpoint addressOf(const std::string& text)
    {
        return parseEndpoint(text).value_or(endpoint {});
    }

    http_server_limits limitsOf(const daemon_settings& settings)
    {
        http_server_limits limits;
        limits.headerBytes = settings.limits.headerBytes;
        limits.bodyBytes = settings.limits.bodyBytes;
        return limits;
    }

    http_response answerError(std::error_code error)
    {
        const bool isMemoryFull = error == result_code::MemoryFull;
        return problemResponse(static_cast<result_code>(error.value()), {}, {}, isMemoryFull ? memoryRetryDelay : std::chrono::seconds {});
    }

}

/// Members of the daemon. Handlers run on the thread of the io_context.
struct daemon_host::state {
    state(boost::asio::io_context& ioContext, const daemon_settings& daemonSettings, log& daemonLog)
        : context(ioContext)
        , settings(daemonSettings)
        , identity(identityOf(daemonSettings))
        , core(identity)
        , events(daemonSettings.vm, daemonLog)
        , http(ioContext)
        , logClient(http, addressOf(daemonSettings.platform.log))
        , vmList(http, addressOf(daemonSettings.platform.vmList))
        , weightStore(http, addressOf(daemonSettings.platform.weightStore))
        , engines(http)
        , scorers(http)
        , gossip(ioContext)
        , proxy(http, [this](daemon_event event) { post(std::move(event)); })
        , timer(ioContext)
        , drainTimer(ioContext)
        , callerServer(
              ioContext, limitsOf(daemonSettings), [this](const http_exchange& exchange) { callers->handle(exchange); }, answerError, guard)
        , adminServer(
              ioContext, limitsOf(daemonSettings), [this](const http_exchange& exchange) { admin->handle(exchange); }, answerError, guard)
    {
    }

    std::error_code open(std::string& detail);
    /// Handles \a event in the core and executes its effects. Events posted meanwhile are queued and handled in order.
    void post(daemon_event event);
    /// First step of the drain: the daemon reports itself as not ready, so that callers turn to other VMs.
    void drain();
    void makeRoutes();
    /// Opens the peer, gossip, admin and callers' ports.
    std::error_code openSockets(std::string& detail);
    /// Posts a tick to the core and schedules the next one.
    void tick();
    /// Second step of the drain: closes the callers' port for new connections.
    void stopAccepting();
    /// Third step of the drain: polls until no work is left, at most until the drain deadline.
    void waitUntilIdle();
    /// Last step of the drain: closes the remaining sockets and stops the io_context.
    void finish();

    boost::asio::io_context& context;
    const daemon_settings settings;
    const daemon_identity identity;
    daemon_core core;
    timeline events;
    http_client http;
    log_client logClient;
    vm_list_client vmList;
    weight_store_client weightStore;
    engine_client engines;
    scorer_client scorers;
    gossip_socket gossip;
    std::unique_ptr<peer_channel> peers;
    call_proxy proxy;
    std::unique_ptr<effect_executor> executor;
    std::unique_ptr<caller_routes> callers;
    std::unique_ptr<admin_routes> admin;
    host_metrics hostMetrics;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer drainTimer;
    /// Bounds the connections of both ports.
    std::shared_ptr<connection_guard> guard = std::make_shared<connection_guard>();
    http_server callerServer;
    http_server adminServer;
    std::deque<daemon_event> queue;
    request_number lastRequest = firstRequestNumber;
    std::chrono::steady_clock::time_point drainDeadline {};
    bool isHandling = false;
    /// Requests that were open at the drain deadline got a final answer.
    bool hasEndedRequests = false;
    bool isFinished = false;
};

std::error_code daemon_host::state::open(std::string& detail)
{
    const std::error_code error = openSockets(detail);
    if (error)
        return error;
    const effect_targets targets { http, logClient, vmList, weightStore, engines, scorers, gossip, *peers, proxy, events };
    executor = std::make_unique<effect_executor>(targets, [this](daemon_event event) { post(std::move(event)); });
    makeRoutes();
    gossip.setHandler([this](std::string address, gossip_message message) {
        post(message_received { std::move(address), std::move(message) });
    });
    peers->setHandler([this](peer_request request, peer_channel::reply_sender sender) {
        const request_number number = ++lastRequest;
        executor->addPeerRequest(number, std::move(sender));
        post(peer_request_received { number, std::move(request) });
    });
    const message_clock clock { [this] { return events.stamp(); }, [this](std::uint64_t time) { events.observe(time); } };
    gossip.setClock(clock);
    peers->setClock(clock);
    events.add({ event_kind::DaemonStarted, settings.vm, result_code::Ok, "The daemon started." });
    tick();
    return {};
}

std::error_code daemon_host::state::openSockets(std::string& detail)
{
    std::string address = settings.listen.peer;
    std::error_code error;
    try {
        peers = std::make_unique<peer_channel>(context, settings.listen.peer);
    } catch (const std::system_error& failure) {
        error = failure.code();
    }
    if (!error) {
        address = settings.listen.gossip;
        error = gossip.open(address);
    }
    if (!error) {
        address = settings.listen.admin;
        error = adminServer.listen(addressOf(address));
    }
    if (!error) {
        address = settings.listen.caller;
        error = callerServer.listen(addressOf(address));
    }
    if (error)
        detail = "The daemon cannot listen on " + address + ": " + error.message();
    return error;
}

void daemon_host::state::makeRoutes()
{
    const std::string idPrefix = settings.vm + '-' + std::to_string(identity.local.instance.startMilliseconds) + '-';
    callers = std::make_unique<caller_routes>(idPrefix, core.catalogue().table(), proxy, [this](const http_exchange& exchange, peer_request request) {
        const request_number number = ++lastRequest;
        executor->addExchange(number, exchange);
        post(batch_request_received { number, std::move(request) });
    });
    admin = std::make_unique<admin_routes>(
        core, events, [this] { return hostMetrics.text(core, proxy, callerServer.openExchanges()); },
        [this](const http_exchange& exchange, const submitted_edit& edit) {
            const request_number number = ++lastRequest;
            executor->addExchange(number, exchange);
            post(edit_submitted { number, edit.recordId, edit.data });
        });
}

void daemon_host::state::post(daemon_event event)
{
    queue.push_back(std::move(event));
    if (isHandling)
        return;
    isHandling = true;
    while (!queue.empty()) {
        const daemon_event next = std::move(queue.front());
        queue.pop_front();
        const daemon_effects effects = core.handle(next, monotonicNow());
        for (const daemon_effect& effect : effects)
            executor->carryOut(effect);
    }
    isHandling = false;
}

void daemon_host::state::tick()
{
    post(daemon_tick {});
    timer.expires_after(tickPeriod);
    timer.async_wait([this](const boost::system::error_code& error) {
        if (!error && !isFinished)
            tick();
    });
}

void daemon_host::state::drain()
{
    if (core.isDraining())
        return;
    post(drain_requested {});
    drainTimer.expires_after(settings.drain.unready);
    drainTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            stopAccepting();
    });
}

void daemon_host::state::stopAccepting()
{
    callerServer.setDraining(true);
    callerServer.stopAccepting();
    drainDeadline = std::chrono::steady_clock::now() + settings.drain.streamBound;
    waitUntilIdle();
}

void daemon_host::state::waitUntilIdle()
{
    const bool isIdle = core.isIdle() && callerServer.openExchanges() == 0;
    const bool isOverdue = std::chrono::steady_clock::now() >= drainDeadline;
    if (!isIdle && isOverdue && !std::exchange(hasEndedRequests, true)) {
        callerServer.answerOpen(problemResponse(result_code::OutcomeUnknown, "The daemon stops before the outcome is known.", {}));
        drainDeadline += finalAnswerTime;
    } else if (isIdle || isOverdue) {
        finish();
        return;
    }
    drainTimer.expires_after(tickPeriod);
    drainTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            waitUntilIdle();
    });
}

void daemon_host::state::finish()
{
    isFinished = true;
    events.add({ event_kind::DrainEnded, settings.vm, result_code::Ok, "The daemon has answered all requests and stops." });
    timer.cancel();
    gossip.close();
    peers->close();
    adminServer.stopAccepting();
    context.stop();
}

daemon_host::daemon_host(boost::asio::io_context& context, const daemon_settings& settings, log& log)
    : m_state(std::make_unique<state>(context, settings, log))
{
}

daemon_host::~daemon_host() = default;

std::error_code daemon_host::open(std::string& detail)
{
    return m_state->open(detail);
}

void daemon_host::drain()
{
    m_state->drain();
}

}
