#pragma once

#include "endpoint.h"
#include "httpmessage.h"

#include <core/instant.h>
#include <core/resultcode.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

namespace Internal {
    class http_call;
    struct http_client_state;
}

/// Longest time of a call whose answer keeps arriving.
inline constexpr duration maxTransferTime = std::chrono::seconds(60);

/// Options of one call.
struct http_call_options {
    /// Time until the answer has to be complete. After it the connection is reset, so that no part of the request arrives
    /// later.
    duration timeout {};
    /// Unless it is zero, the call is not given up at \c timeout once the head of the answer has arrived, but when no further
    /// bytes arrive for this time, or after maxTransferTime.
    duration stallTimeout {};
    /// Time until a new connection has to be established; \c timeout applies when it is zero.
    duration connectTimeout {};
    /// Whether a pooled connection may be used. A call that must not run twice needs a new connection, since the peer may
    /// close a pooled one while the request is written, which leaves the outcome unknown.
    bool mayReuseConnection = true;
    /// Largest body that callBuffered() accepts, in bytes. The call ends as soon as the answer goes beyond it.
    std::uint64_t bodyLimit = std::uint64_t { 16 } * 1024 * 1024;
};

/// Outcome of a call. \c code is Ok only if a complete answer arrived, whatever its status.
///
/// UpstreamUnreachable: no byte of the request was written. UpstreamTimeout: no complete answer in time.
/// MalformedRequest: the request cannot be sent, and no byte of it was. UpstreamBroken: the connection failed before the
/// head of the answer. UpstreamInvalid: the bytes are no head of an answer, or their status is none of a final answer.
/// UpstreamTruncated: the connection failed after the head, or the body is larger than \c bodyLimit.
struct http_outcome {
    result_code code = result_code::Ok;
    std::string detail;
    /// The answer is larger than \c bodyLimit.
    bool isTooLarge = false;
};

/// Handlers that receive an answer as it arrives. onDone is called last, once.
struct http_call_handlers {
    std::function<void(const http_response_head&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(const http_outcome&)> onDone;
};

/// Handle of a call. An empty handle, or one of a call that has ended, does nothing.
class http_call_handle {
public:
    http_call_handle();
    explicit http_call_handle(boost::intrusive_ptr<Internal::http_call> call);
    http_call_handle(const http_call_handle&);
    http_call_handle& operator=(const http_call_handle&);
    ~http_call_handle();

    /// Ends the call; no handler is called afterwards. Unless the answer has begun the connection is reset, so that no part
    /// of the request arrives later.
    void cancel();
    /// Replaces the time until the answer has to be complete, counted from the start of the call.
    void setTimeout(duration timeout);
    /// Pauses or resumes reading the body, for back-pressure.
    void setPaused(bool isPaused);

private:
    boost::intrusive_ptr<Internal::http_call> m_call;
};

/// HTTP/1.1 client with a pool of idle connections for each endpoint. Single-threaded.
///
/// A connection returns to the pool only after a complete answer was read from it.
class http_client {
public:
    explicit http_client(boost::asio::io_context& context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends \a request; the answer is passed to \a handlers as it arrives.
    http_call_handle call(const endpoint& address, http_request request, const http_call_options& options,
        http_call_handlers handlers);

    /// Sends \a request and buffers the answer; \a handler is called once, when the call has ended.
    http_call_handle callBuffered(const endpoint& address, http_request request, const http_call_options& options,
        std::function<void(const http_outcome&, const http_response&)> handler);

private:
    http_call_handle start(const endpoint& address, http_request request, const http_call_options& options, http_call_handlers handlers);

    std::shared_ptr<Internal::http_client_state> m_state;
};

}
