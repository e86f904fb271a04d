#include "gatewayhost.h"

#include "answers.h"
#include "batchdesk.h"
#include "batchloader.h"
#include "bootclock.h"
#include "callrelay.h"
#include "gatewaymetrics.h"
#include "gatewaysettings.h"
#include "itemrunner.h"
#include "journal.h"
#include "leasekeeper.h"
#include "platformview.h"
#include "progresskeeper.h"
#include "readingpace.h"
#include "weightorderer.h"

#include <net/httpclient.h>
#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <platform/storeclient.h>
#include <support/log.h>
#include <support/logline.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>

namespace ragwortreach {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 25 };
    /// Time in which the platform's balancer notices that the daemon is not ready.
    constexpr duration noticeTime = std::chrono::milliseconds(3200);
    /// A daemon that has not heard from the log for longer sends callers to others.
    constexpr duration maxLedgerAge = std::chrono::milliseconds(1500);
    /// A configuration that was confirmed longer ago may lack a route that exists by now.
    constexpr duration maxConfigurationAge = std::chrono::milliseconds(1200);
    /// Kept before the end of the time to stop.
    constexpr duration stopMargin = std::chrono::milliseconds(700);
    /// Time after which a batch that ended is forgotten; trainers may read it for two minutes.
    constexpr duration batchMemory = std::chrono::minutes(4);
    constexpr duration comeBackAfter = std::chrono::milliseconds(200);
    /// Bounds before any configuration is in force. They only guard the memory.
    constexpr std::size_t headerBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t bodyBytes = std::size_t { 40 } * 1024 * 1024;
    constexpr std::string_view modelLeasePrefix = "model/";
    constexpr int okStatus = 200;
    constexpr int notFoundStatus = 404;

    std::string newLifeName(const std::string& vm)
    {
        std::random_device device;
        const std::uint64_t number = static_cast<std::uint64_t>(device()) << 32 | device();
        return vm + "-" + std::to_string(number);
    }

    http_server_limits callerLimits()
    {
        http_server_limits limits;
        limits.headerBytes = headerBytes;
        limits.bodyBytes = bodyBytes;
        return limits;
    }

    /// Bounds that the operators set. The request line is not a part of the header that they bound.
    http_server_limits callerLimits(const caller_bounds& bounds)
    {
        constexpr std::size_t requestLineBytes = std::size_t { 8 } * 1024;
        http_server_limits limits;
        limits.headerBytes = bounds.headerBytes + requestLineBytes;
        limits.bodyBytes = bounds.bodyBytes;
        limits.headerTimeout = bounds.headerTimeout;
        limits.idleTimeout = bounds.idleTimeout;
        return limits;
    }

    http_response malformed(std::error_code code)
    {
        const result_code result = static_cast<result_code>(code.value());
        return failure(resultCodeInfo(result).httpStatus, result, "The request cannot be read.");
    }

}

struct gateway_host::state {
    state(boost::asio::io_context& ioContext, const gateway_settings& daemonSettings, log& daemonLog)
        : context(ioContext)
        , settings(daemonSettings)
        , lines(daemonLog)
        , life(newLifeName(daemonSettings.vm))
        , client(ioContext)
        , store(client, parseEndpoint(daemonSettings.storeAddress).value_or(endpoint {}))
        , pool(daemonSettings.dataCentre)
        , view(ioContext, store, routes, pool, daemonLog,
              { [this] { nameLeases(); }, [this](const std::string& model, std::uint64_t version) { nameVersion(model, version); } })
        , batches(ioContext, store, { daemonSettings.journalPartitions, daemonSettings.textPartitions }, life, [this](const ledger_batch& batch) { noteBatch(batch); })
        , leases(ioContext, store, { daemonSettings.vm, life }, { daemonSettings.orderLease, daemonSettings.processorShare }, daemonLog, [this] { assignWork(); })
        , loader(batches, daemonLog)
        , scheduler(batches.ledger(), pool, routes)
        , progress(ioContext, store, daemonSettings.textPartitions, life, batches.ledger(), scheduler, daemonLog)
        , runner(ioContext, client, batches, scheduler, pool, daemonLog)
        , orderer(client, leases.agent(), pool, routes, daemonSettings.vm, daemonLog)
        , relay(ioContext, client, pool, routes, daemonLog)
        , desk(batches, routes, daemonLog)
        , callers(
              ioContext, callerLimits(), [this](const http_exchange& exchange) { serve(exchange); }, malformed)
        , readiness(
              ioContext, {}, [this](const http_exchange& exchange) { answerReadiness(exchange); }, malformed)
        , metricsServer(
              ioContext, {}, [this](const http_exchange& exchange) { answerMetrics(exchange); }, malformed)
        , timer(ioContext)
    {
        orderer.plan().setLoadShare(daemonSettings.loadShare);
    }

    std::error_code listen(http_server& server, const std::string& address, std::string& detail) const;
    void nameLeases();
    void setPace();
    void assignWork();
    void nameVersion(const std::string& model, std::uint64_t version);
    void noteBatch(const ledger_batch& batch);
    void serve(const http_exchange& exchange);
    void answerReadiness(const http_exchange& exchange);
    void answerMetrics(const http_exchange& exchange);
    bool isReady() const;
    void noteReadiness();
    void loadBatches();
    void tick();
    void checkStop();

    boost::asio::io_context& context;
    gateway_settings settings;
    log& lines;
    std::string life;
    http_client client;
    platform::store_client store;
    route_table routes;
    replica_pool pool;
    platform_view view;
    journal batches;
    lease_keeper leases;
    batch_loader loader;
    item_scheduler scheduler;
    progress_keeper progress;
    item_runner runner;
    weight_orderer orderer;
    call_relay relay;
    batch_desk desk;
    http_server callers;
    http_server readiness;
    http_server metricsServer;
    boost::asio::steady_timer timer;
    std::optional<instant> drainingSince;
    std::string ownedNames;
    /// Models that were taken over and whose batches are not loaded yet.
    std::set<std::string, std::less<>> toRecover;
    bool wasReady = false;
    bool wasLedgerRead = false;
    bool hasLeft = false;
};

std::error_code gateway_host::state::listen(http_server& server, const std::string& address, std::string& detail) const
{
    const std::error_code error = server.listen(parseEndpoint(address).value_or(endpoint {}));
    if (error)
        detail = "The address " + address + " cannot be listened on; check that it belongs to this VM and that no other process uses the port.";
    return error;
}

/// There is one lease for the orders of weights, and one for the batches of each model. One holder orders for all
/// replicas, since a replica serves several models and takes orders from one holder at a time.
void gateway_host::state::nameLeases()
{
    std::vector<std::string> names { std::string(weight_orderer::leaseName) };
    for (const std::string& model : routes.models())
        names.push_back(std::string(modelLeasePrefix) + model);
    leases.agent().setLeases(std::move(names));
    callers.setLimits(callerLimits(routes.configuration().callers));
    assignWork();
}

void gateway_host::state::setPace()
{
    const reading_pace& pace = leases.agent().holdsAny() ? workingPace : idlePace;
    view.setReplicaSpacing(pace.replicas);
    batches.setSpacing(pace.journal);
    leases.setSpacing(pace.leases);
}

/// Takes up the work of the leases that are held. Texts that earlier owners saved belong to batches of the ledger, so
/// the ledger comes first.
void gateway_host::state::assignWork()
{
    if (drainingSince)
        return;
    orderer.noteHolder();
    setPace();
    if (!batches.isReady())
        return;
    std::set<std::string, std::less<>> owned;
    std::string names;
    for (const std::string& model : routes.models()) {
        if (!leases.agent().isHeld(std::string(modelLeasePrefix) + model))
            continue;
        owned.insert(model);
        names += (names.empty() ? "" : " ") + model;
    }
    if (names == std::exchange(ownedNames, names))
        return;
    std::vector<std::string> added;
    std::copy_if(owned.begin(), owned.end(), std::back_inserter(added), [this](const std::string& model) { return !scheduler.owns(model); });
    scheduler.setOwnedModels(owned, bootNow());
    toRecover.insert(added.begin(), added.end());
    lines.write(log_line(log_level::Info, "work_assigned").with("models", names));
}

void gateway_host::state::nameVersion(const std::string& model, std::uint64_t version)
{
    if (version <= orderer.plan().target(model))
        return;
    orderer.plan().setTarget(model, version, bootNow());
    lines.write(log_line(log_level::Info, "version_named").with("model", model).with("version", version));
}

void gateway_host::state::noteBatch(const ledger_batch& batch)
{
    if (batch.results.empty() && !batch.isEnded)
        orderer.plan().setOldestAllowed(batch.submission.model, batch.submission.minVersion);
    desk.onChanged(batch);
}

void gateway_host::state::serve(const http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const platform::caller_request caller = platform::decodeCallerRequest(request);
    if (!routes.isReady()) {
        exchange.respond(refusal(result_code::NoUpstream, "No configuration is known yet.", comeBackAfter));
        return;
    }
    const platform::batch_call call = platform::decodeBatchCall(request);
    if (!std::holds_alternative<std::monostate>(call)) {
        desk.answer(exchange, caller, call);
        return;
    }
    const route* const found = routes.find(caller.host, targetPath(request.target));
    if (!found && bootNow() - view.configurationConfirmedAt() > maxConfigurationAge) {
        exchange.respond(refusal(result_code::NoUpstream, "No route fits, and the configuration may have changed.", comeBackAfter));
        return;
    }
    if (!found) {
        exchange.respond(failure(notFoundStatus, result_code::UnknownRoute, "No route fits the host and the path."));
        return;
    }
    if (found->kind == route_kind::Rollout)
        desk.submit(exchange, caller);
    else
        relay.serve(exchange, *found, caller);
}

bool gateway_host::state::isReady() const
{
    const bool isCurrent = bootNow() - batches.confirmedAt() < maxLedgerAge;
    return view.isReady() && batches.isReady() && isCurrent && !drainingSince;
}

void gateway_host::state::answerReadiness(const http_exchange& exchange)
{
    if (!platform::isReadinessCheck(exchange.request()))
        exchange.respond(failure(notFoundStatus, result_code::UnknownRoute, "No such page."));
    else if (isReady())
        exchange.respond({ okStatus, {}, "ready\n" });
    else
        exchange.respond(refusal(result_code::Draining, "The daemon is not ready.", comeBackAfter));
}

void gateway_host::state::answerMetrics(const http_exchange& exchange)
{
    const gateway_readings readings { relay.counters(), desk.counters(), loader.counters(), scheduler.counters(), scheduler.rewards(), runner.rewardLatency(), orderer.counters(), view.counters(),
        batches.counters(), batches.texts().counters(), progress.counters(), routes.version(), relay.openCalls(), scheduler.runs(), batches.waiting(), isReady() };
    exchange.respond({ okStatus, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText(readings) });
}

void gateway_host::state::noteReadiness()
{
    const bool isReadyNow = isReady();
    if (isReadyNow != std::exchange(wasReady, isReadyNow))
        lines.write(log_line(log_level::Info, "readiness_changed").with("ready", isReadyNow).with("configuration", routes.version()));
}

/// Batches that ended a while ago stay, since their groups may come again.
void gateway_host::state::loadBatches()
{
    const instant now = bootNow();
    loader.tick([this, now](const ledger_batch& batch) {
        return scheduler.owns(batch.submission.model) && (batch.isOpen() || now - batch.learnedAt < item_scheduler::reuseTime);
    },
        now);
    std::erase_if(toRecover, [this, now](const std::string& model) {
        if (!loader.isLoaded(model))
            return false;
        progress.recover(model, now);
        return true;
    });
}

void gateway_host::state::tick()
{
    timer.expires_after(tickInterval);
    timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        noteReadiness();
        if (batches.isReady() && !std::exchange(wasLedgerRead, true))
            assignWork();
        view.tick();
        desk.tick();
        loadBatches();
        runner.run();
        if (!drainingSince) {
            leases.tick();
            orderer.tick();
            progress.tick(bootNow());
        }
        batches.forgetBefore(bootNow() - batchMemory, [this](const ledger_batch& batch) {
            return leases.agent().isHeld(std::string(modelLeasePrefix) + batch.submission.model);
        });
        checkStop();
        tick();
    });
}

void gateway_host::state::checkStop()
{
    if (!drainingSince)
        return;
    if (!hasLeft && batches.waiting() == 0) {
        hasLeft = true;
        leases.release([] {});
    }
    const duration age = bootNow() - *drainingSince;
    const bool isIdle = callers.openExchanges() == 0 && batches.waiting() == 0;
    if ((age > noticeTime && isIdle) || age > settings.stopTime - stopMargin) {
        lines.write(log_line(log_level::Info, "stopped").with("open_calls", callers.openExchanges()).with("records_waiting", batches.waiting()));
        context.stop();
    }
}

gateway_host::gateway_host(boost::asio::io_context& context, const gateway_settings& settings, log& log)
    : m_state(std::make_unique<state>(context, settings, log))
{
}

gateway_host::~gateway_host() = default;

std::error_code gateway_host::open(std::string& detail)
{
    state& daemon = *m_state;
    std::error_code error = daemon.listen(daemon.callers, daemon.settings.callerAddress, detail);
    if (!error)
        error = daemon.listen(daemon.readiness, daemon.settings.readinessAddress, detail);
    if (!error)
        error = daemon.listen(daemon.metricsServer, daemon.settings.metricsAddress, detail);
    if (error)
        return error;
    daemon.lines.write(log_line(log_level::Info, "started").with("life", daemon.life).with("store", daemon.settings.storeAddress));
    daemon.view.start();
    daemon.batches.start();
    daemon.leases.start();
    daemon.tick();
    return {};
}

void gateway_host::drain()
{
    state& daemon = *m_state;
    if (daemon.drainingSince)
        return;
    daemon.drainingSince = bootNow();
    daemon.lines.write(log_line(log_level::Info, "stopping").with("open_calls", daemon.callers.openExchanges()));
    daemon.callers.setDraining(true);
    daemon.runner.handOver();
}

void gateway_host::reload(const gateway_settings& settings)
{
    state& daemon = *m_state;
    const gateway_settings& old = daemon.settings;
    const bool needsRestart = settings.callerAddress != old.callerAddress || settings.readinessAddress != old.readinessAddress
        || settings.metricsAddress != old.metricsAddress || settings.storeAddress != old.storeAddress
        || settings.journalPartitions != old.journalPartitions || settings.textPartitions != old.textPartitions;
    daemon.settings.stopTime = settings.stopTime;
    daemon.settings.orderLease = settings.orderLease;
    daemon.settings.loadShare = settings.loadShare;
    daemon.settings.processorShare = settings.processorShare;
    daemon.leases.agent().setOptions({ settings.orderLease, settings.processorShare });
    daemon.orderer.plan().setLoadShare(settings.loadShare);
    daemon.lines.write(log_line(log_level::Info, "settings_reloaded").with("vm", settings.vm).with("needs_restart", needsRestart));
}

}
