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

/// Counters of the bytes and calls that passed through.
struct call_proxy_counters {
    std::uint64_t attempts = 0;
    std::uint64_t answersWhole = 0;
    std::uint64_t answersBroken = 0;
    std::uint64_t bodyBytes = 0;
};

/// Carries calls between callers and upstreams as the core decides.
///
/// An answer with a short body is collected whole before the caller sees any of it, so that a broken
/// one can be replaced by another attempt. A long or streamed answer passes through, and when it breaks
/// the connection of the caller is closed, so that it never looks complete.
class call_proxy {
public:
    using event_handler = std::function<void(daemon_event)>;

    call_proxy(http_client& client, event_handler onEvent);

    /// Takes a call; the request that goes upstream has the target \a upstreamTarget and the caller's body.
    void add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget);
    /// Like add() above, with another body.
    void add(const call_arrived& call, const http_exchange& exchange, std::string upstreamTarget, std::string body);

    void startAttempt(const start_attempt& effect);
    void stopAttempt(const stop_attempt& effect);
    void forwardAnswer(const forward_answer& effect);
    void replayAnswer(const replay_answer& effect);
    void refuse(const refuse_call& effect);

    std::size_t openCalls() const { return m_calls.size(); }
    const call_proxy_counters& counters() const { return m_counters; }

private:
    struct proxied_call {
        explicit proxied_call(const http_exchange& callerExchange);

        http_exchange exchange;
        std::string requestId;
        http_request upstreamRequest;
        http_call_handle handle;
        http_response answer;
        std::uint32_t attempt = 0;
        bool isKeyed = false;
        bool hasAnswerStarted = false;
    };

    proxied_call* find(request_number number);
    void readHead(request_number number, const http_response_head& head);
    void beginPassing(proxied_call& call, std::optional<std::uint64_t> length);
    void readBody(request_number number, std::string_view piece);
    void endAttempt(request_number number, const http_outcome& outcome);
    void pass(request_number number, proxied_call& call, std::string_view piece);
    void loseCaller(request_number number);
    void remove(request_number number);

    http_client& m_client;
    event_handler m_onEvent;
    std::map<request_number, std::unique_ptr<proxied_call>> m_calls;
    call_proxy_counters m_counters;
};

}
