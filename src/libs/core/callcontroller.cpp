#include "callcontroller.h"

#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr std::uint32_t maxAttempts = 3;
    constexpr std::chrono::seconds retryAfter { 1 };
    constexpr std::size_t maxOpenCalls = 20000;

    append_outcome appendOutcome(result_code code)
    {
        if (code == result_code::Ok)
            return append_outcome::Appended;
        return code == result_code::LogUnavailable ? append_outcome::Failed : append_outcome::Unknown;
    }

    std::int64_t milliseconds(duration span)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    }

    duration callTimeout(const call_arrived& call, const catalogue_entry& entry)
    {
        if (call.callerTimeout <= duration::zero())
            return entry.timeout;
        return std::min(call.callerTimeout, entry.timeout);
    }

    bool isCertainlyNotRun(const attempt_ended& event)
    {
        return event.code == result_code::UpstreamUnreachable || (event.code == result_code::Ok && event.isRefusedBeforeRun);
    }

}

call_controller::call_controller(daemon_context& context)
    : m_context(context)
    , m_appender("claims")
{
}

void call_controller::tick()
{
    m_claims.tick(m_context);
    tickKeyedCalls();
}

void call_controller::handle(const call_arrived& event)
{
    m_context.count(daemon_counter::CallsReceived);
    if (std::optional<refuse_call> refused = refusal(event)) {
        m_context.count(daemon_counter::CallsRefused);
        m_context.emit(std::move(*refused));
        return;
    }
    call_state state;
    state.call = event;
    state.entry = *m_context.catalogue.table().entry(event.entry);
    state.arrivedAt = m_context.now;
    state.deadline = m_context.now + callTimeout(event, state.entry);
    ++m_inFlight[event.entry];
    call_state& added = m_calls.emplace(event.number, std::move(state)).first->second;
    if (!added.entry.idempotent && !event.idempotencyKey.empty()) {
        startKeyedCall(added);
        return;
    }
    startFirstAttempt(added);
}

std::optional<refuse_call> call_controller::refusal(const call_arrived& event) const
{
    const catalogue_entry* const entry = m_context.catalogue.table().entry(event.entry);
    if (!entry)
        return refuse_call { event.number, result_code::UnknownEntry, "The catalogue has no entry " + event.entry + ".", {} };
    if (!event.owner.empty() && event.owner != entry->owner)
        return refuse_call { event.number, result_code::WrongOwner, "The entry " + event.entry + " belongs to another owner.", {} };
    const auto inFlight = m_inFlight.find(event.entry);
    const bool isAtLimit = inFlight != m_inFlight.end() && inFlight->second >= entry->limits.inFlight;
    if (isAtLimit)
        return refuse_call { event.number, result_code::OwnerLimitReached, "The entry " + event.entry + " has reached its limit of calls in flight; try again later.", retryAfter };
    if (m_calls.size() >= maxOpenCalls)
        return refuse_call { event.number, result_code::QueueFull, {}, retryAfter };
    return std::nullopt;
}

void call_controller::startKeyedCall(call_state& state)
{
    keyed_call_settings settings;
    settings.claimId = m_context.nextRecordId();
    settings.claim.entry = state.call.entry;
    settings.claim.key = state.call.idempotencyKey;
    settings.claim.bodyHash = std::to_string(state.call.bodyHash);
    settings.claim.vm = m_context.vm();
    settings.claim.incarnation = m_context.identity().local.instance.startMilliseconds;
    settings.logOutage = state.entry.logOutage;
    settings.deadline = state.deadline;
    state.keyedCall = std::make_unique<keyed_call>(m_claims.table(), std::move(settings));
    m_keyedCalls.insert(state.call.number);
    runKeyedCall(state.call.number, keyed_call_events::started { m_claims.isLogDown() });
}

void call_controller::startFirstAttempt(call_state& state)
{
    if (!startAttempt(state))
        endNotRun(state, result_code::NoUpstream, "No replica of the upstream of " + state.call.entry + " can take the call.");
}

bool call_controller::startAttempt(call_state& state)
{
    replica_router* const router = m_context.upstreams.router(state.entry.upstream);
    route_request route;
    route.excluded = state.triedVms;
    if (state.call.prefixHash != 0)
        route.groupKey = state.call.prefixHash;
    const std::optional<std::string> vm = router ? router->pick(route) : std::nullopt;
    if (!vm)
        return false;
    router->started(*vm);
    ++state.attempts;
    state.vm = *vm;
    state.triedVms.push_back(*vm);
    m_context.count(daemon_counter::AttemptsStarted);
    const std::string& address = m_context.upstreams.replica(*vm)->listing.address;
    m_context.emit(start_attempt { state.call.number, state.attempts, *vm, address, state.deadline - m_context.now, state.entry.idempotent });
    return true;
}

void call_controller::handle(const attempt_ended& event)
{
    const auto it = m_calls.find(event.number);
    if (it == m_calls.end() || it->second.vm.empty() || event.attempt != it->second.attempts)
        return;
    endAttempt(it->second, event);
}

void call_controller::endAttempt(call_state& state, const attempt_ended& event)
{
    recordAttempt(state, event);
    if (mayRetry(state, event) && startAttempt(state)) {
        m_context.count(daemon_counter::AttemptsRepeated);
        return;
    }
    if (isCertainlyNotRun(event)) {
        endNotRun(state, event.code == result_code::Ok ? result_code::UpstreamRefused : event.code, event.detail);
        return;
    }
    if (event.code != result_code::Ok) {
        endFailed(state, event);
        return;
    }
    state.hasCompleteAnswer = true;
    if (state.keyedCall)
        runKeyedCall(state.call.number, keyed_call_events::upstream_answered { event.answer });
    else
        answer(state);
}

void call_controller::recordAttempt(const call_state& state, const attempt_ended& event)
{
    if (replica_router* const router = m_context.upstreams.router(state.entry.upstream))
        router->finished(state.vm);
    if (event.code == result_code::Ok)
        m_context.upstreams.noteSuccess(state.vm);
    else
        m_context.upstreams.noteFailure(state.vm, m_context.now);
    if (event.code == result_code::Ok && !event.isRefusedBeforeRun)
        return;
    m_context.count(daemon_counter::AttemptsFailed);
    m_context.addTimelineEvent(event_kind::AttemptEnded, state.call.requestId,
        "Attempt " + std::to_string(state.attempts) + " at " + state.vm + " failed: " + event.detail, event.code);
}

bool call_controller::mayRetry(const call_state& state, const attempt_ended& event) const
{
    if (event.hasAnswerStarted || state.attempts >= maxAttempts || m_context.now >= state.deadline)
        return false;
    return isCertainlyNotRun(event) || (state.entry.idempotent && event.code != result_code::Ok);
}

void call_controller::endNotRun(call_state& state, result_code code, const std::string& detail)
{
    if (state.keyedCall)
        runKeyedCall(state.call.number, keyed_call_events::upstream_not_run { code });
    else
        refuse(state, code, detail);
}

void call_controller::endFailed(call_state& state, const attempt_ended& event)
{
    const result_code code = state.entry.idempotent ? event.code : result_code::OutcomeUnknown;
    if (state.keyedCall)
        runKeyedCall(state.call.number, keyed_call_events::upstream_unknown { code });
    else
        refuse(state, code, event.detail);
}

void call_controller::handle(const caller_gone& event)
{
    const auto it = m_calls.find(event.number);
    if (it == m_calls.end())
        return;
    call_state& state = it->second;
    state.isCallerGone = true;
    m_context.addTimelineEvent(event_kind::RequestCancelled, state.call.requestId, "The caller closed its connection.", result_code::CallerGone);
    if (state.keyedCall) {
        runKeyedCall(event.number, keyed_call_events::caller_gone {});
        return;
    }
    replica_router* const router = m_context.upstreams.router(state.entry.upstream);
    if (router && !state.vm.empty())
        router->finished(state.vm);
    refuse(state, result_code::CallerGone, {});
}

bool call_controller::handle(const log_read_ended& event)
{
    if (!m_claims.handle(m_context, event))
        return false;
    tickKeyedCalls();
    return true;
}

bool call_controller::handle(const append_ended& event)
{
    const std::vector<stream_appender::item> ended = m_appender.finishAppend(m_context, event);
    for (const stream_appender::item& item : ended)
        runKeyedCall(item.number, keyed_call_events::append_finished { item.record.id, appendOutcome(event.code) });
    return !ended.empty();
}

void call_controller::runKeyedCall(request_number number, const keyed_call_event& event)
{
    m_keyedEvents.push_back({ number, event });
    if (m_isHandlingKeyedEvents)
        return;
    m_isHandlingKeyedEvents = true;
    while (!m_keyedEvents.empty()) {
        const pending_keyed_event next = std::move(m_keyedEvents.front());
        m_keyedEvents.pop_front();
        handleKeyedEvent(next);
    }
    m_isHandlingKeyedEvents = false;
}

void call_controller::handleKeyedEvent(const pending_keyed_event& next)
{
    const auto it = m_calls.find(next.number);
    if (it == m_calls.end() || !it->second.keyedCall)
        return;
    const std::vector<keyed_call_effect> effects = it->second.keyedCall->handle(next.event, m_context.now);
    bool isOver = false;
    for (const keyed_call_effect& effect : effects)
        isOver = carryOut(it->second, effect) || isOver;
    if (isOver)
        finish(next.number);
}

bool call_controller::carryOut(call_state& state, const keyed_call_effect& effect)
{
    if (const keyed_call_effects::append_record* const append = std::get_if<keyed_call_effects::append_record>(&effect)) {
        m_appender.add(m_context, { state.call.number, { append->recordId, append->data } });
        return false;
    }
    if (std::holds_alternative<keyed_call_effects::run_upstream>(effect)) {
        m_context.addTimelineEvent(event_kind::KeyClaimed, state.call.requestId, "The key " + state.call.idempotencyKey + " is claimed.");
        startFirstAttempt(state);
        return false;
    }
    if (const keyed_call_effects::answer_caller* const answer = std::get_if<keyed_call_effects::answer_caller>(&effect)) {
        answerKeyedCall(state, *answer);
        return false;
    }
    return std::holds_alternative<keyed_call_effects::call_finished>(effect);
}

void call_controller::answerKeyedCall(call_state& state, const keyed_call_effects::answer_caller& answer)
{
    if (answer.code != result_code::Ok) {
        m_context.count(daemon_counter::CallsRefused);
        m_context.addTimelineEvent(event_kind::RequestRefused, state.call.requestId, std::string(resultCodeInfo(answer.code).text), answer.code);
        m_context.emit(refuse_call { state.call.number, answer.code, {}, retryAfter });
        return;
    }
    if (state.hasCompleteAnswer) {
        m_context.count(daemon_counter::CallsAnswered);
        m_context.addTimelineEvent(event_kind::RequestAnswered, state.call.requestId, "Answered completely by " + state.vm + ".");
        m_context.emit(forward_answer { state.call.number });
        return;
    }
    m_context.count(daemon_counter::CallsReplayed);
    m_context.addTimelineEvent(event_kind::RequestAnswered, state.call.requestId, "Answered with the recorded answer of the first call with this key.");
    m_context.emit(replay_answer { state.call.number, answer.answer });
}

void call_controller::answer(call_state& state)
{
    m_context.count(daemon_counter::CallsAnswered);
    m_context.addTimelineEvent(event_kind::RequestAnswered, state.call.requestId,
        "Answered completely by " + state.vm + " after " + std::to_string(milliseconds(m_context.now - state.arrivedAt)) + " ms.");
    m_context.emit(forward_answer { state.call.number });
    finish(state.call.number);
}

void call_controller::refuse(call_state& state, result_code code, const std::string& detail)
{
    m_context.count(resultCodeInfo(code).run == run_state::No ? daemon_counter::CallsRefused : daemon_counter::CallsBroken);
    if (!state.isCallerGone)
        m_context.addTimelineEvent(event_kind::RequestRefused, state.call.requestId, detail, code);
    m_context.emit(refuse_call { state.call.number, code, detail, retryAfter });
    finish(state.call.number);
}

void call_controller::tickKeyedCalls()
{
    const std::vector<request_number> keyedCalls(m_keyedCalls.begin(), m_keyedCalls.end());
    for (const request_number number : keyedCalls)
        runKeyedCall(number, keyed_call_events::tick {});
}

void call_controller::finish(request_number number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end())
        return;
    const auto inFlight = m_inFlight.find(it->second.call.entry);
    if (--inFlight->second == 0)
        m_inFlight.erase(inFlight);
    if (it->second.keyedCall && it->second.isCallerGone)
        m_context.emit(refuse_call { number, result_code::CallerGone, {}, {} });
    m_keyedCalls.erase(number);
    m_calls.erase(it);
}

}
