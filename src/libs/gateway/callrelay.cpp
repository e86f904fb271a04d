#include "callrelay.h"

#include "answernotes.h"
#include "bootclock.h"
#include "errorresponses.h"
#include "relayedanswer.h"

#include <support/log.h>
#include <support/logline.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Reading from the replica pauses while the caller has not taken this many bytes.
    constexpr std::size_t maxCallerQueueBytes = std::size_t { 1024 } * 1024;
    /// The same while the daemon holds so many bytes that memory is scarce.
    constexpr std::size_t maxScarceQueueBytes = std::size_t { 64 } * 1024;
    constexpr duration connectTimeout = std::chrono::milliseconds(300);
    /// Time after which a call that cannot be tried alone now should come back: replicas that ended take seconds to return.
    constexpr duration isolationRetryDelay = std::chrono::seconds(1);
    constexpr int firstClientErrorStatus = 400;
    constexpr int firstServerErrorStatus = 500;
    constexpr int refusalStatus = 503;
    /// Other daemons that a call is passed on to at most; each costs a round trip.
    constexpr std::size_t maxPeers = 3;
    /// Calls that are taken with an older configuration get a line.
    constexpr duration maxUnloggedAge = std::chrono::seconds(1);

    /// Whether \a exchange has so much of its answer to send that nothing more should be read for it.
    bool isCallerBehind(const http_exchange& exchange)
    {
        return exchange.queuedBytes() >= (exchange.isMemoryScarce() ? maxScarceQueueBytes : maxCallerQueueBytes);
    }

}

/// Open call, with its current attempt at a replica.
struct call_relay::relayed_call {
    relayed_call(boost::asio::io_context& context, const http_exchange& callerExchange, const platform::caller_request& callerRequest, route_kind kind)
        : exchange(callerExchange)
        , caller(callerRequest)
        , answer(callerExchange, callerRequest.id, kind == route_kind::Streaming, callerRequest.lastEvent)
        , timer(context)
        , permitTimer(context)
    {
    }

    http_exchange exchange;
    platform::caller_request caller;
    relayed_answer answer;
    request_digest digest;
    std::string routeName;
    std::string service;
    duration retryDelay {};
    /// Latency objective of the route.
    duration objective {};
    /// Ask for a permit that is under way; 0 for none.
    permit_number permit = 0;
    bool isResumable = false;
    /// Software version that began the stream; empty when it has not begun, or when the version is unknown.
    std::string streamSoftware;
    call_progress progress;
    std::vector<std::string> triedReplicas;
    call_source source = call_source::Caller;
    /// Version of the configuration by which the service was chosen.
    std::uint64_t configuration = 0;
    /// VM of the daemon that has the attempt; empty when a replica has it.
    std::string peer;
    std::vector<std::string> triedPeers;
    /// Attempts at replicas that this daemon may make.
    std::uint32_t peerAttempts = 0;
    replica_instance replica;
    /// "ip:port" of the replica or of the other daemon.
    std::string address;
    /// Version of the replica's software.
    std::string software;
    /// Standing of the request at the begin of the attempt.
    request_standing standing = request_standing::Clear;
    bool isOnTrial = false;
    /// The usage meter has counted the call, here or at the daemon that passed it on.
    bool isCounted = false;
    /// The present attempt is the one that was counted.
    bool isCountedAttempt = false;
    /// A part of the replica's own answer has arrived in this attempt.
    bool hasProgress = false;
    /// A part of the replica's answer was sent to the caller, so that no other replica can take over, and the attempt has
    /// all the time of the call.
    bool isBoundToReplica = false;
    instant arrivedAt {};
    instant attemptStartedAt {};
    bool isAttemptOpen = false;
    /// The bytes of the attempt are not a valid answer; a posted handler will end it.
    bool isUnusable = false;
    http_call_handle handle;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer permitTimer;
};

call_relay::call_relay(boost::asio::io_context& context, http_client& client, replica_pool& pool, replica_gate& gate, call_peers& peers, request_guard& guard, stream_origins& origins, const route_table& routes, log& log)
    : m_context(context)
    , m_client(client)
    , m_pool(pool)
    , m_gate(gate)
    , m_peers(peers)
    , m_guard(guard)
    , m_origins(origins)
    , m_routes(routes)
    , m_log(log)
{
}

call_relay::~call_relay() = default;

call_relay::relayed_call* call_relay::find(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : found->second.get();
}

void call_relay::serve(const http_exchange& exchange, const route& route, const platform::caller_request& caller, call_source source)
{
    ++m_counters.arrived;
    m_counters.takenOver += source == call_source::Peer ? 1 : 0;
    const std::uint64_t number = ++m_lastNumber;
    std::unique_ptr<relayed_call> call = std::make_unique<relayed_call>(m_context, exchange, caller, route.kind);
    const route_target* const target = chooseTarget(route, std::hash<std::string> {}(caller.id));
    call->digest = platform::digestOf(exchange.request(), caller.identity.organisation);
    call->routeName = route.name;
    call->service = target ? target->service : std::string();
    call->retryDelay = retryAfter(route);
    call->objective = route.objective;
    call->isResumable = route.isResumable;
    call->isCounted = caller.isCounted;
    call->arrivedAt = bootNow();
    call->progress.kind = route.kind;
    call->source = source;
    call->configuration = m_routes.version();
    call->progress.maxAttempts = route.maxAttempts;
    if (source == call_source::Peer)
        call->progress.maxAttempts = std::min(route.maxAttempts, caller.attemptsLeft.value_or(1));
    const duration longest = longestTime(route, caller.timeRemaining);
    call->progress.deadline = std::min(call->arrivedAt + longest, m_end);
    exchange.setDisconnectHandler([this, number] { onCallerGone(number); });
    call->timer.expires_after(longest);
    call->timer.async_wait([this, number](const boost::system::error_code& error) {
        if (!error)
            onTimeout(number);
    });
    noteConfigurationAge(*call);
    const bool isResumed = route.kind == route_kind::Streaming && caller.lastEvent != 0;
    m_calls.emplace(number, std::move(call));
    if (isResumed)
        resume(number);
    else
        startAttempt(number);
}

void call_relay::resume(std::uint64_t number)
{
    const relayed_call& call = *find(number);
    m_origins.find(call.caller.resumes, call.service, [this, number](const std::string& software) { onOriginFound(number, software); });
}

void call_relay::onOriginFound(std::uint64_t number, const std::string& software)
{
    relayed_call* const call = find(number);
    if (!call)
        return;
    if (software.empty()) {
        refuse(number, "it is not known which software version began the stream");
        return;
    }
    call->streamSoftware = software;
    startAttempt(number);
}

void call_relay::noteConfigurationAge(const relayed_call& call)
{
    const duration age = call.arrivedAt - m_routes.confirmedAt();
    if (age <= maxUnloggedAge)
        return;
    ++m_counters.behindConfiguration;
    m_log.write(log_line(log_level::Info, "call_taken_behind")
                    .with("request", call.caller.id)
                    .with("route", call.routeName)
                    .with("service", call.service)
                    .with("configuration", m_routes.version())
                    .with("configuration_age_us", age.count()));
}

void call_relay::setEnd(instant end)
{
    m_end = end;
    for (const std::pair<const std::uint64_t, std::unique_ptr<relayed_call>>& call : m_calls)
        call.second->progress.deadline = std::min(call.second->progress.deadline, end);
}

void call_relay::stop()
{
    while (!m_calls.empty()) {
        const std::uint64_t number = m_calls.begin()->first;
        const relayed_call& call = *m_calls.begin()->second;
        if (call.isAttemptOpen || call.progress.mayHaveRun)
            fail(number, 504, "the daemon stops before the answer has arrived");
        else
            refuse(number, "the daemon stops");
    }
}

void call_relay::startAttempt(std::uint64_t number, std::string_view permitted)
{
    relayed_call& call = *find(number);
    const instant now = bootNow();
    call.standing = m_guard.standingOf(call.digest);
    if (call.standing == request_standing::Quarantined) {
        refuseForGood(number);
        return;
    }
    if (isOutOfReach(call)) {
        if (call.source == call_source::Peer) {
            endWithoutReplica(number, "this daemon reaches no replica");
            return;
        }
        if (sendToPeer(number))
            return;
    }
    if (call.standing == request_standing::Isolated && !mayTryAlone(call, now)) {
        call.retryDelay = std::max(call.retryDelay, isolationRetryDelay);
        endWithoutReplica(number, "replicas ended under the same request, and it cannot be tried alone now");
        return;
    }
    const replica_pool::replica* const replica = pickReplica(call, permitted, now);
    const bool isSuitable = replica && !m_pool.isLastResort(*replica, now);
    if (!isSuitable && permitted.empty() && waitForPermit(number, now))
        return;
    if (replica)
        sendTo(number, *replica);
    else
        endWithoutReplica(number, "no replica is available");
}

bool call_relay::mayTryAlone(const relayed_call& call, instant now) const
{
    return !call.progress.mayHaveRun && m_guard.isFleetInSight() && !m_soloTrials.contains(call.service) && m_pool.canLoseOne(call.service, now);
}

void call_relay::beginTrial(relayed_call& call)
{
    if (call.standing == request_standing::Clear)
        return;
    call.isOnTrial = true;
    m_pool.beginTrial(call.replica.id);
    if (call.standing == request_standing::Isolated)
        m_soloTrials.insert(call.service);
}

void call_relay::endTrial(relayed_call& call)
{
    if (!std::exchange(call.isOnTrial, false))
        return;
    m_pool.endTrial(call.replica.id);
    if (call.standing == request_standing::Isolated)
        m_soloTrials.erase(call.service);
}

replica_criteria call_relay::criteriaFor(const relayed_call& call) const
{
    replica_criteria criteria { call.service, call.triedReplicas };
    criteria.software = call.streamSoftware;
    return criteria;
}

const replica_pool::replica* call_relay::pickReplica(const relayed_call& call, std::string_view permitted, instant now) const
{
    replica_criteria criteria = criteriaFor(call);
    criteria.permitted = permitted;
    criteria.preferred = permitted;
    const replica_pool::replica* const replica = m_pool.pick(criteria, now);
    if (replica || call.progress.kind != route_kind::Idempotent || call.triedReplicas.empty())
        return replica;
    criteria.excluded = {};
    return m_pool.pick(criteria, now);
}

duration call_relay::maxPermitWait(const relayed_call& call) const
{
    const route* const route = m_routes.findByName(call.routeName);
    const std::size_t moreUrgent = route ? m_routes.countMoreUrgent(*route, call.caller.identity.priority.value_or(route->priority)) : 0;
    return call.objective / static_cast<duration::rep>(moreUrgent + 1);
}

bool call_relay::waitForPermit(std::uint64_t number, instant now)
{
    relayed_call& call = *find(number);
    const duration left = call.progress.deadline - now;
    std::vector<replica_instance> replicas = m_pool.limitedReplicas(criteriaFor(call), now);
    if (replicas.empty() && call.progress.kind == route_kind::Idempotent)
        replicas = m_pool.limitedReplicas({ call.service, {} }, now);
    if (replicas.empty())
        return false;
    call.permit = m_gate.ask(std::move(replicas), std::min(maxPermitWait(call), left / 2), [this, number](const permit_outcome& outcome) { onPermit(number, outcome); });
    return true;
}

void call_relay::onPermit(std::uint64_t number, const permit_outcome& outcome)
{
    relayed_call& call = *find(number);
    call.permit = 0;
    if (outcome.replica.empty()) {
        onPermitDenied(number, outcome.wait);
        return;
    }
    call.permitTimer.expires_after(outcome.wait);
    call.permitTimer.async_wait([this, number, replica = outcome.replica](const boost::system::error_code& error) {
        if (!error && find(number))
            startAttempt(number, replica);
    });
}

/// Sends the call to a replica that is a last resort, or refuses it until the next turn of a limited one.
void call_relay::onPermitDenied(std::uint64_t number, duration nextTurn)
{
    relayed_call& call = *find(number);
    const replica_pool::replica* const lastResort = pickReplica(call, {}, bootNow());
    if (lastResort) {
        sendTo(number, *lastResort);
        return;
    }
    // Those that are refused at the same time return at different ones.
    const std::size_t part = std::hash<std::string> {}(call.caller.id) % 100;
    const duration wait = std::max(nextTurn, call.retryDelay);
    call.retryDelay = wait + wait * static_cast<duration::rep>(part) / 100;
    endWithoutReplica(number, "all replicas are at the limits that they named");
}

void call_relay::endWithoutReplica(std::uint64_t number, std::string_view reason)
{
    if (find(number)->progress.mayHaveRun)
        fail(number, 502, "the call may have run, and no other replica is available");
    else
        refuse(number, reason);
}

void call_relay::sendTo(std::uint64_t number, const replica_pool::replica& replica)
{
    relayed_call& call = *find(number);
    const instant now = bootNow();
    call.replica = replica.instance();
    call.address = replica.entry.address;
    call.software = replica.entry.software;
    call.peer.clear();
    call.triedReplicas.push_back(call.replica.id);
    const bool hasAlternative = m_pool.pick(criteriaFor(call), now) != nullptr;
    m_pool.started(call.replica.id);
    beginTrial(call);
    const platform::replica_request_options sent { call.replica.id, call.progress.deadline - now, call.answer.lastEvent(), call.caller.identity.organisation };
    openAttempt(number, platform::encodeReplicaRequest(call.exchange.request(), sent), hasAlternative);
    // A model engine begins a request with its first token, a plain service when it gets it.
    if (call.caller.identity.organisation && !isAtEngine(call))
        noteBegun(call);
}

bool call_relay::isOutOfReach(const relayed_call& call) const
{
    return !m_peers.hasAccess() || (call.progress.tries > 0 && m_peers.isAccessDoubtful());
}

bool call_relay::sendToPeer(std::uint64_t number)
{
    relayed_call& call = *find(number);
    if (call.triedPeers.size() >= maxPeers)
        return false;
    const std::optional<peer> chosen = m_peers.choosePeer(call.triedPeers);
    if (!chosen)
        return false;
    call.replica = {};
    call.address = chosen->address;
    call.software.clear();
    call.peer = chosen->vm;
    call.triedPeers.push_back(chosen->vm);
    // One attempt is kept for the case that the other daemon does not answer.
    const std::uint32_t left = call.progress.maxAttempts - std::min(call.progress.attempts, call.progress.maxAttempts);
    call.peerAttempts = std::max(1U, call.progress.kind == route_kind::Idempotent ? left - std::min(left, 1U) : left);
    ++m_counters.passedOn;
    // Another daemon may have served calls by a newer configuration before this one reads it; none may go back after that.
    const std::uint64_t configuration = std::max(m_routes.newestVersion(), m_peerConfiguration);
    const platform::peer_request_options sent { call.progress.deadline - bootNow(), call.answer.lastEvent(), call.peerAttempts, configuration, call.isCounted };
    openAttempt(number, platform::encodePeerRequest(call.exchange.request(), sent), true);
    return true;
}

void call_relay::openAttempt(std::uint64_t number, http_request request, bool hasAlternative)
{
    relayed_call& call = *find(number);
    const instant now = bootNow();
    call.attemptStartedAt = now;
    call.isAttemptOpen = true;
    call.isUnusable = false;
    call.hasProgress = false;
    call.isBoundToReplica = false;
    call.answer.beginAttempt();
    ++m_counters.attempts;
    http_call_options options;
    options.timeout = call.progress.kind == route_kind::Streaming ? call.progress.deadline - now : attemptTime(call.progress, hasAlternative, now);
    options.connectTimeout = std::min(connectTimeout, options.timeout);
    options.mayReuseConnection = call.progress.kind == route_kind::Idempotent;
    http_call_handlers handlers;
    handlers.onHead = [this, number](const http_response_head& head) { readHead(number, head); };
    handlers.onBody = [this, number](std::string_view piece) { readBody(number, piece); };
    handlers.onDone = [this, number](const http_outcome& outcome) { onAttemptDone(number, outcome); };
    const endpoint address = parseEndpoint(call.address).value_or(endpoint {});
    call.handle = m_client.call(address, std::move(request), options, std::move(handlers));
}

void call_relay::readHead(std::uint64_t number, const http_response_head& head)
{
    relayed_call* const call = find(number);
    if (!call)
        return;
    call->answer.setHead(platform::decodeReplicaAnswer(head), head);
    if (call->peer.empty())
        noteAnswer(m_gate, call->replica, call->caller.id, call->answer.head());
    else
        m_peerConfiguration = std::max(m_peerConfiguration, call->answer.head().configuration);
    if (call->source == call_source::Peer)
        call->answer.addHeader(platform::configurationHeaderFor(call->configuration));
}

void call_relay::readBody(std::uint64_t number, std::string_view piece)
{
    relayed_call* const call = find(number);
    if (!call)
        return;
    if (call->answer.isOwnSuccess() && !std::exchange(call->hasProgress, true)) {
        // What ends replicas ends them before their answer begins.
        m_guard.noteAnswered(call->digest);
        endTrial(*call);
        if (call->peer.empty())
            noteBegun(*call);
    }
    if (!call->answer.read(piece)) {
        rejectAnswer(*call, number);
        return;
    }
    if (call->answer.hasStarted() && !std::exchange(call->isBoundToReplica, true))
        bindToReplica(*call);
    if (isCallerBehind(call->exchange))
        pauseUntilDrained(*call, number);
}

bool call_relay::isAtEngine(const relayed_call& call) const
{
    const service_definition* const service = m_routes.service(call.service);
    return service && service->engine;
}

void call_relay::noteBegun(relayed_call& call)
{
    const std::optional<std::string>& organisation = call.caller.identity.organisation;
    if (!m_usage || !organisation || organisation->empty() || std::exchange(call.isCounted, true))
        return;
    call.isCountedAttempt = true;
    m_usage->noteBegun(*organisation, isAtEngine(call) ? bootNow() : call.attemptStartedAt);
}

void call_relay::noteNotBegun(relayed_call& call)
{
    if (!std::exchange(call.isCountedAttempt, false))
        return;
    call.isCounted = false;
    m_usage->noteNotBegun(*call.caller.identity.organisation, call.attemptStartedAt);
}

/// A part of the replica's answer was sent to the caller.
void call_relay::bindToReplica(relayed_call& call)
{
    call.handle.setTimeout(call.progress.deadline - call.attemptStartedAt);
    // A stream that another daemon brings was noted there.
    if (!call.isResumable || !call.streamSoftware.empty() || !call.peer.empty())
        return;
    call.streamSoftware = call.software;
    m_origins.noteBegun(call.caller.id, call.service, call.software);
}

void call_relay::pauseUntilDrained(relayed_call& call, std::uint64_t number)
{
    call.handle.setPaused(true);
    call.exchange.setDrainedHandler([this, number] {
        relayed_call* const drained = find(number);
        if (drained)
            drained->handle.setPaused(false);
    });
}

/// The attempt is ended in a posted handler, since this one is called from within the read. It has to be ended: a replica
/// may send bytes without end.
void call_relay::rejectAnswer(relayed_call& call, std::uint64_t number)
{
    if (std::exchange(call.isUnusable, true))
        return;
    call.handle.setPaused(true);
    boost::asio::post(m_context, [this, number] {
        relayed_call* const rejected = find(number);
        if (!rejected || !rejected->isUnusable)
            return;
        rejected->handle.cancel();
        concludeAttempt(number, attempt_end::Interrupted, "the replica sent an invalid answer");
    });
}

attempt_end call_relay::classifyEnd(const relayed_call& call, const http_outcome& outcome)
{
    if (outcome.code == result_code::UpstreamUnreachable || outcome.code == result_code::MalformedRequest)
        return attempt_end::NotSent;
    if (outcome.code != result_code::Ok || call.isUnusable)
        return attempt_end::Interrupted;
    const platform::replica_answer& head = call.answer.head();
    if (head.isOtherReplica)
        return attempt_end::OtherReplica;
    if (head.isNotRun)
        return attempt_end::NotRun;
    if (!head.belongsTo(call.caller.id))
        return call.peer.empty() ? attempt_end::Interrupted : classifyPeerAnswer(head.status);
    if (head.status >= firstServerErrorStatus)
        return attempt_end::AnsweredFailure;
    return call.answer.isWhole() ? attempt_end::Answered : attempt_end::Interrupted;
}

attempt_end call_relay::classifyPeerAnswer(int status)
{
    if (status == refusalStatus)
        return attempt_end::NotRun;
    // Such as a route that a newer configuration has dropped.
    if (status >= firstClientErrorStatus && status < firstServerErrorStatus)
        return attempt_end::Answered;
    return attempt_end::Interrupted;
}

void call_relay::onAttemptDone(std::uint64_t number, const http_outcome& outcome)
{
    const relayed_call* const call = find(number);
    if (!call)
        return;
    const attempt_end end = classifyEnd(*call, outcome);
    if (end == attempt_end::Interrupted)
        logInterruption(*call, outcome);
    if (call->peer.empty()) {
        tellGuard(*call, end, outcome);
        if (call->answer.head().status == 0)
            noteUnanswered(m_gate, call->replica, outcome.code, call->attemptStartedAt);
    }
    concludeAttempt(number, end, outcome.detail);
}

void call_relay::tellGuard(const relayed_call& call, attempt_end end, const http_outcome& outcome)
{
    if (end == attempt_end::Answered || end == attempt_end::AnsweredFailure)
        m_guard.noteAnswered(call.digest);
    if (end != attempt_end::Interrupted || call.hasProgress)
        return;
    if (outcome.code == result_code::UpstreamTimeout)
        m_guard.noteInterrupted(call.digest, call.replica, call.address, interruption::TimedOut);
    else if (outcome.code == result_code::UpstreamBroken || outcome.code == result_code::UpstreamTruncated)
        m_guard.noteInterrupted(call.digest, call.replica, call.address, interruption::Broken);
}

void call_relay::logInterruption(const relayed_call& call, const http_outcome& outcome) const
{
    const duration took = bootNow() - call.attemptStartedAt;
    m_log.write(log_line(log_level::Info, "attempt_interrupted")
                    .with("request", call.caller.id)
                    .with("digest", toString(call.digest))
                    .with("replica", call.replica.id)
                    .with("peer", call.peer)
                    .with("started_at_ms", call.replica.startedAt)
                    .with("code", static_cast<int>(outcome.code))
                    .with("reason", outcome.detail)
                    .with("tries", call.progress.tries)
                    .with("took_us", took.count()));
}

void call_relay::concludeAttempt(std::uint64_t number, attempt_end end, std::string_view detail)
{
    relayed_call& call = *find(number);
    const instant now = bootNow();
    call.isAttemptOpen = false;
    endTrial(call);
    noteAttemptEnd(call, end, now);
    ++call.progress.tries;
    const bool hasRun = end == attempt_end::Interrupted || end == attempt_end::AnsweredFailure || end == attempt_end::Answered;
    if (!hasRun)
        noteNotBegun(call);
    call.isCountedAttempt = false;
    if (hasRun) {
        call.progress.attempts += call.peer.empty() ? 1 : call.peerAttempts;
        call.progress.mayHaveRun = true;
    }
    call_step step = decideAfterAttempt(call.progress, end, now);
    // What follows a stream that has begun is its next events or nothing, whatever another replica answers.
    const bool isAnswered = end == attempt_end::Answered && (!call.answer.hasStarted() || isSuccess(call.answer.head().status));
    const bool isOriginKnown = !call.answer.hasStarted() || !call.streamSoftware.empty();
    const bool mayResume = call.progress.kind == route_kind::Streaming && call.isResumable && isOriginKnown && !isAnswered
        && call.progress.attempts < call.progress.maxAttempts && now < call.progress.deadline;
    if (mayResume)
        step = call_step::Retry;
    else if (call.answer.hasStarted() && !isAnswered)
        step = call_step::Fail;
    switch (step) {
    case call_step::Forward:
        forward(number);
        return;
    case call_step::Retry:
        ++m_counters.retries;
        startAttempt(number);
        return;
    case call_step::Refuse:
        refuse(number, detail.empty() ? "all replicas are at capacity" : detail);
        return;
    case call_step::Fail:
        fail(number, 502, detail);
        return;
    }
}

void call_relay::noteAttemptEnd(const relayed_call& call, attempt_end end, instant now)
{
    if (call.peer.empty())
        m_pool.finished(call.replica.id, replicaOutcome(end), now - call.attemptStartedAt, now);
    else if (end != attempt_end::Answered && end != attempt_end::AnsweredFailure)
        m_peers.notePeerFailed(call.peer);
}

void call_relay::forward(std::uint64_t number)
{
    relayed_call& call = *find(number);
    ++m_counters.answered;
    call.answer.finish();
    remove(number);
}

void call_relay::refuse(std::uint64_t number, std::string_view reason)
{
    relayed_call& call = *find(number);
    ++m_counters.refused;
    logOutcome(call, "refused", reason);
    call.exchange.respond(refusalResponse(result_code::NoUpstream, reason, call.retryDelay));
    remove(number);
}

void call_relay::refuseForGood(std::uint64_t number)
{
    relayed_call& call = *find(number);
    if (call.progress.mayHaveRun) {
        fail(number, 502, "the call may have run, and replicas ended under the same request");
        return;
    }
    ++m_counters.quarantined;
    constexpr std::string_view reason = "replicas ended whenever they ran the same request";
    logOutcome(call, "quarantined", reason);
    call.exchange.respond(failureResponse(result_code::RequestQuarantined, reason));
    remove(number);
}

void call_relay::fail(std::uint64_t number, int status, std::string_view reason)
{
    relayed_call& call = *find(number);
    logOutcome(call, "failed", reason);
    if (call.answer.hasStarted()) {
        ++m_counters.truncated;
        call.exchange.abort();
    } else {
        ++m_counters.failed;
        call.exchange.respond(failureResponse(status, result_code::OutcomeUnknown, reason));
    }
    remove(number);
}

void call_relay::onTimeout(std::uint64_t number)
{
    relayed_call* const call = find(number);
    if (!call)
        return;
    const bool isUnansweredByReplica = call->isAttemptOpen && call->peer.empty() && !call->hasProgress;
    if (isUnansweredByReplica) {
        noteUnanswered(m_gate, call->replica, result_code::UpstreamTimeout, call->attemptStartedAt);
        m_guard.noteInterrupted(call->digest, call->replica, call->address, interruption::TimedOut);
    }
    fail(number, 504, "the call timed out");
}

void call_relay::onCallerGone(std::uint64_t number)
{
    relayed_call* const call = find(number);
    if (!call)
        return;
    ++m_counters.callerGone;
    remove(number);
}

void call_relay::logOutcome(const relayed_call& call, std::string_view outcome, std::string_view reason)
{
    const duration age = bootNow() - call.arrivedAt;
    m_log.write(log_line(log_level::Warning, "call_ended")
                    .with("request", call.caller.id)
                    .with("route", call.routeName)
                    .with("service", call.service)
                    .with("replica", call.replica.id)
                    .with("peer", call.peer)
                    .with("outcome", outcome)
                    .with("reason", reason)
                    .with("attempts", call.progress.attempts)
                    .with("tries", call.progress.tries)
                    .with("may_have_run", call.progress.mayHaveRun)
                    .with("digest", toString(call.digest))
                    .with("age_us", age.count())
                    .with("configuration", m_routes.version()));
}

void call_relay::remove(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const std::unique_ptr<relayed_call> call = std::move(found->second);
    m_calls.erase(found);
    call->handle.cancel();
    endTrial(*call);
    if (call->permit != 0)
        m_gate.cancel(call->permit);
    if (call->isAttemptOpen)
        m_pool.finished(call->replica.id, replica_outcome::Cancelled, {}, bootNow());
}

}
