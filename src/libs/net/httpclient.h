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

/// How one call is made.
struct http_call_options {
    /// Time until the whole answer has to be there. After it the connection is reset, so nothing of the request arrives
    /// later.
    duration timeout {};
    /// Time until a new connection has to stand; the whole timeout when it is zero.
    duration connectTimeout {};
    /// Whether a pooled connection may carry the call. A call that must not run twice takes a new
    /// connection, since a pooled one may close under the write and leave its outcome unknown.
    bool mayReuseConnection = true;
    /// Largest body that callBuffered() accepts, in bytes.
    std::size_t bodyLimit = std::size_t { 16 } * 1024 * 1024;
};

/// Outcome of a call. \a code is Ok only for an answer that arrived whole.
///
/// UpstreamUnreachable is returned only when no byte of the request was written.
struct http_outcome {
    result_code code = result_code::Ok;
    std::string detail;
};

/// Receives an answer piece by piece.
struct http_call_handlers {
    std::function<void(const http_response_head&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(const http_outcome&)> onDone;
};

/// Handle of a running call; empty handles are allowed.
class http_call_handle {
public:
    http_call_handle();
    explicit http_call_handle(boost::intrusive_ptr<Internal::http_call> call);
    http_call_handle(const http_call_handle&);
    http_call_handle& operator=(const http_call_handle&);
    ~http_call_handle();

    /// Closes the connection; no handler is called afterwards.
    void cancel();
    /// Stops and restarts the reading of the body, for callers that read slowly.
    void setPaused(bool isPaused);

private:
    boost::intrusive_ptr<Internal::http_call> m_call;
};

/// HTTP/1.1 client with a pool of kept connections for each endpoint. One thread only.
///
/// A connection returns to the pool only after a whole answer was read from it.
class http_client {
public:
    explicit http_client(boost::asio::io_context& context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    http_call_handle call(const endpoint& address, http_request request, const http_call_options& options,
        http_call_handlers handlers);

    /// Collects the whole answer before \a handler is called.
    http_call_handle callBuffered(const endpoint& address, http_request request, const http_call_options& options,
        std::function<void(const http_outcome&, const http_response&)> handler);

private:
    std::shared_ptr<Internal::http_client_state> m_state;
};

}
