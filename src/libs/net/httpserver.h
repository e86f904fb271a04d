#pragma once

#include "endpoint.h"
#include "httpmessage.h"

#include <core/instant.h>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

namespace Internal {
    class http_session;
    class http_server_state;
}

/// Bounds on what a caller may send.
struct http_server_limits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 8 } * 1024 * 1024;
    /// Time a caller has to send one whole request once it started.
    duration readTimeout = std::chrono::seconds(30);
    /// Time a caller has to send the header of a request once it began; no bound of its own when zero.
    duration headerTimeout {};
    /// Time after which a kept connection without a request is closed; never when zero.
    duration idleTimeout {};
};

/// One request of a caller and the way to answer it.
///
/// A handler answers either with respond() or with beginStream(), write() and endStream(). Copies
/// refer to the same exchange. All calls are ignored once the caller has gone.
class http_exchange {
public:
    explicit http_exchange(boost::intrusive_ptr<Internal::http_session> session, std::uint64_t number);
    http_exchange(const http_exchange&);
    http_exchange& operator=(const http_exchange&);
    ~http_exchange();

    const http_request& request() const;

    void respond(http_response response) const;
    /// A length makes the body a plain one; without it the body is sent in chunks.
    void beginStream(const http_response_head& head) const;
    void write(std::string_view piece) const;
    void endStream() const;
    /// Closes the connection, so that the caller sees a broken answer rather than a short one.
    void abort() const;

    bool isOpen() const;
    /// Bytes that wait for the caller to read them.
    std::size_t queuedBytes() const;
    /// Called when the caller closes its connection before the answer is whole.
    void setDisconnectHandler(std::function<void()> handler) const;
    /// Called when the bytes that waited have been sent.
    void setDrainedHandler(std::function<void()> handler) const;

private:
    boost::intrusive_ptr<Internal::http_session> m_session;
    std::uint64_t m_number;
};

/// HTTP/1.1 server on one address. One thread only.
class http_server {
public:
    using request_handler = std::function<void(http_exchange)>;
    /// Makes the answer to a request that breaks a limit or cannot be parsed.
    using error_handler = std::function<http_response(std::error_code)>;

    http_server(boost::asio::io_context& context, const http_server_limits& limits, request_handler onRequest,
        error_handler onError);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Fails with AddressInUse when the port is taken.
    std::error_code listen(const endpoint& address);
    /// Port in use, for a server that was asked to listen on port 0.
    std::uint16_t port() const;
    /// Bounds of the requests that begin from now on.
    void setLimits(const http_server_limits& limits);
    /// Asks callers to open no further request on kept connections.
    void setDraining(bool isDraining);
    /// Takes no further connections and closes the idle ones.
    void stopAccepting();
    std::size_t openExchanges() const;

private:
    std::shared_ptr<Internal::http_server_state> m_state;
};

}
