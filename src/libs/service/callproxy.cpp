#include "callproxy.h"

#include "problem.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortreach {

namespace {

    /// Size up to which an answer is buffered before the caller gets any of it.
    constexpr std::size_t maxBufferedBodyBytes = std::size_t { 256 } * 1024;
    /// Size up to which an answer is stored for a replay under its idempotency key.
    constexpr std::size_t maxStoredBodyBytes = std::size_t { 16 } * 1024;
    /// Reading from the upstream pauses when this many bytes are queued for the caller, until all of them are sent.
    constexpr std::size_t maxQueuedCallerBytes = std::size_t { 1024 } * 1024;

    constexpr std::array<std::string_view, 3> rewrittenHeaders { "Host", "Content-Length", "Expect" };

    /// Whether a header is passed on: hop-by-hop headers and those that the HTTP client writes itself are not.
    bool isForwardedHeader(std::string_view name)
    {
        const bool isRewritten = std::any_of(rewrittenHeaders.begin(), rewrittenHeaders.end(),
            [name](std::string_view header) { return isSameHeader(header, name); });
        return !isRewritten && !isHopByHop(name);
    }

    std::vector<http_header> forwardedHeaders(const std::vector<http_header>& headers)
    {
        std::vector<http_header> forwarded;
        std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded),
            [](const http_header& header) { return isForwardedHeader(header.name); });
        return forwarded;
    }

}

call_proxy::proxied_call::proxied_call(const http_exchange& callerExchange)
    : exchange(callerExchange)
{
}

call_proxy::call_proxy(http_client& client, event_handler onEvent)
    : m_client(client)
    , m_onEvent(std::move(onEvent))
{
}

void call_proxy::add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget)
{
    add(call, exchange, std::move(upstreamTarget), exchange.request().body);
}

void call_proxy::add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget, shared_text body)
{
    std::unique_ptr<proxied_call> added = std::make_unique<proxied_call>(exchange);
    added->requestId = call.requestId;
    added->isKeyed = !call.idempotencyKey.empty();
    added->upstreamRequest.method = exchange.request().method;
    added->upstreamRequest.target = std::move(upstreamTarget);
    added->upstreamRequest.headers = forwardedHeaders(exchange.request().headers);
    added->upstreamRequest.headers.push_back({ "X-Request-Id", call.requestId });
    added->upstreamRequest.body = std::move(body);
    added->exchange.setDisconnectHandler([this, number = call.number] { onCallerGone(number); });
    m_calls.emplace(call.number, std::move(added));
    m_onEvent(call);
}

void call_proxy::startAttempt(const start_attempt& effect)
{
    proxied_call* const call = find(effect.number);
    if (!call)
        return;
    ++m_counters.attempts;
    call->attempt = effect.attempt;
    call->answer = {};
    const request_number number = effect.number;
    http_call_handlers handlers;
    handlers.onHead = [this, number](const http_response_head& head) { readHead(number, head); };
    handlers.onBody = [this, number](std::string_view piece) { readBody(number, piece); };
    handlers.onDone = [this, number](const http_outcome& outcome) { endAttempt(number, outcome); };
    http_call_options options;
    options.timeout = effect.timeout;
    options.mayReuseConnection = effect.mayReuseConnection;
    const endpoint address = parseEndpoint(effect.address).value_or(endpoint {});
    call->handle = m_client.call(address, call->upstreamRequest, options, std::move(handlers));
}

void call_proxy::stopAttempt(const stop_attempt& effect)
{
    proxied_call* const call = find(effect.number);
    if (call && call->attempt == effect.attempt)
        call->handle.cancel();
}

void call_proxy::forwardAnswer(const forward_answer& effect)
{
    proxied_call* const call = find(effect.number);
    if (!call)
        return;
    ++m_counters.answersCompleted;
    if (call->hasAnswerStarted)
        call->exchange.endStream();
    else
        call->exchange.respond(std::move(call->answer));
    remove(effect.number);
}

void call_proxy::replayAnswer(const replay_answer& effect)
{
    proxied_call* const call = find(effect.number);
    if (!call)
        return;
    http_response response { effect.answer.status, { { "Idempotency-Replayed", "true" } }, effect.answer.body };
    if (!effect.answer.contentType.empty())
        response.headers.push_back({ "Content-Type", effect.answer.contentType });
    call->exchange.respond(std::move(response));
    remove(effect.number);
}

void call_proxy::refuse(const refuse_call& effect)
{
    proxied_call* const call = find(effect.number);
    if (!call)
        return;
    if (call->hasAnswerStarted) {
        ++m_counters.answersTruncated;
        call->exchange.abort();
    } else {
        call->exchange.respond(problemResponse(effect.code, effect.detail, call->requestId, effect.retryAfter));
    }
    remove(effect.number);
}

call_proxy::proxied_call* call_proxy::find(request_number number)
{
    const auto it = m_calls.find(number);
    return it == m_calls.end() ? nullptr : it->second.get();
}

void call_proxy::readHead(request_number number, const http_response_head& head)
{
    proxied_call* const call = find(number);
    if (!call)
        return;
    call->answer.status = head.status;
    for (const http_header& header : forwardedHeaders(head.headers))
        call->answer.headers.push_back(header);
    const bool isBuffered = (head.contentLength && *head.contentLength <= maxBufferedBodyBytes) || head.status >= 500;
    if (!isBuffered)
        beginAnswer(*call, head.contentLength);
}

void call_proxy::beginAnswer(proxied_call& call, std::optional<std::uint64_t> length)
{
    call.hasAnswerStarted = true;
    call.exchange.beginStream({ call.answer.status, call.answer.headers, length });
    if (!call.answer.body.empty())
        call.exchange.write(std::exchange(call.answer.body, {}));
}

void call_proxy::readBody(request_number number, std::string_view piece)
{
    proxied_call* const call = find(number);
    if (!call)
        return;
    m_counters.bodyBytes += piece.size();
    if (!call->hasAnswerStarted && call->answer.body.size() + piece.size() > maxBufferedBodyBytes)
        beginAnswer(*call, std::nullopt);
    if (call->hasAnswerStarted)
        forwardPiece(number, *call, piece);
    else
        call->answer.body += piece;
}

void call_proxy::forwardPiece(request_number number, proxied_call& call, std::string_view piece)
{
    call.exchange.write(piece);
    if (call.exchange.queuedBytes() < maxQueuedCallerBytes)
        return;
    call.handle.setPaused(true);
    call.exchange.setDrainedHandler([this, number] {
        proxied_call* const drained = find(number);
        if (drained)
            drained->handle.setPaused(false);
    });
}

void call_proxy::endAttempt(request_number number, const http_outcome& outcome)
{
    proxied_call* const call = find(number);
    if (!call)
        return;
    attempt_ended event;
    event.number = number;
    event.attempt = call->attempt;
    event.code = outcome.code;
    event.detail = outcome.detail;
    event.isRefusedBeforeRun = headerValue(call->answer.headers, "X-Upstream-Ran") == "no";
    event.hasAnswerStarted = call->hasAnswerStarted;
    event.answer.status = call->answer.status;
    event.answer.contentType = headerValue(call->answer.headers, "Content-Type").value_or(std::string_view());
    event.answer.isBodyKept = call->isKeyed && !call->hasAnswerStarted && call->answer.body.size() <= maxStoredBodyBytes;
    if (event.answer.isBodyKept)
        event.answer.body = call->answer.body;
    m_onEvent(event);
}

void call_proxy::onCallerGone(request_number number)
{
    if (!find(number))
        return;
    m_onEvent(caller_gone { number });
}

void call_proxy::remove(request_number number)
{
    const auto it = m_calls.find(number);
    if (it == m_calls.end())
        return;
    it->second->handle.cancel();
    m_calls.erase(it);
}

}
