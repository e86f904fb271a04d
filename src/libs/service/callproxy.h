#pragma once

#include <core/daemonevent.h>
#include <net/httpclient.h>
#include <net/httpserver.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwortreach {

/// Counts since the start of the process.
struct call_proxy_counters {
    std::uint64_t attempts = 0;
    std::uint64_t answersCompleted = 0;
    /// Answers that were truncated after their first bytes had been sent to the caller.
    std::uint64_t answersTruncated = 0;
    /// Bytes of answer bodies read from upstreams.
    std::uint64_t bodyBytes = 0;
};

/// Forwards calls of callers to upstreams and the answers back, by the decisions of the core.
///
/// An answer with a short body is buffered until it is complete before the caller gets any of it, so that another attempt
/// can replace a truncated one. A long or streamed answer is forwarded as it arrives; if it is truncated, the connection of
/// the caller is reset, so that the caller does not take the answer for a complete one.
class call_proxy {
public:
    /// Receives the events of calls for the core.
    using event_handler = std::function<void(daemon_event)>;

    call_proxy(http_client& client, event_handler onEvent);

    /// Adds a call and reports its arrival to the core. The request to the upstream has the target \a upstreamTarget and the
    /// body of the caller's request.
    void add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget);
    /// Like add() above, but with \a body in place of that of the caller.
    void add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget, shared_text body);

    /// Sends the request to the upstream that the core selected.
    void startAttempt(const start_attempt& effect);
    /// Cancels an attempt, unless another one has started since.
    void stopAttempt(const stop_attempt& effect);
    /// Ends the call with the complete answer of its upstream.
    void forwardAnswer(const forward_answer& effect);
    /// Ends the call with the stored answer of an earlier call with the same idempotency key.
    void replayAnswer(const replay_answer& effect);
    /// Ends the call with an error answer, or resets the connection when the caller already has a part of the answer.
    void refuse(const refuse_call& effect);

    std::size_t openCalls() const { return m_calls.size(); }
    const call_proxy_counters& counters() const { return m_counters; }

private:
    /// Open call of a caller, with its current attempt.
    struct proxied_call {
        explicit proxied_call(const http_exchange& callerExchange);

        http_exchange exchange;
        std::string requestId;
        http_request upstreamRequest;
        http_call_handle handle;
        /// Head of the answer, and the part of its body that is buffered.
        http_response answer;
        std::uint32_t attempt = 0;
        /// Whether the caller sent an idempotency key.
        bool isKeyed = false;
        /// Whether the caller has got a part of the answer.
        bool hasAnswerStarted = false;
    };

    proxied_call* find(request_number number);
    void readHead(request_number number, const http_response_head& head);
    /// Sends the head and the bytes buffered so far to the caller.
    void beginAnswer(proxied_call& call, std::optional<std::uint64_t> length);
    void readBody(request_number number, std::string_view piece);
    /// Reports the outcome of the attempt to the core.
    void endAttempt(request_number number, const http_outcome& outcome);
    /// Sends \a piece to the caller, and pauses the upstream while too many bytes are queued.
    void forwardPiece(request_number number, proxied_call& call, std::string_view piece);
    void onCallerGone(request_number number);
    void remove(request_number number);

    http_client& m_client;
    event_handler m_onEvent;
    std::map<request_number, std::unique_ptr<proxied_call>> m_calls;
    call_proxy_counters m_counters;
};

}
