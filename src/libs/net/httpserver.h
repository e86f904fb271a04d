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

class connection_guard;

namespace Internal {
    class http_session;
    class http_server_state;
}

/// Limits on the requests and connections of callers.
struct http_server_limits {
    /// At most 64 KiB; a larger limit has no effect.
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 8 } * 1024 * 1024;
    /// Time a caller has to send the body of a request, from the end of its header.
    duration readTimeout = std::chrono::seconds(30);
    /// Time a caller has to send the header of a request; unlimited when zero.
    duration headerTimeout {};
    /// Time after which a connection without a request is closed; never when zero.
    duration idleTimeout {};
};

/// One request of a caller, and the means to answer it.
///
/// A handler answers either with respond() or with beginStream(), write() and endStream(). Copies refer to the same
/// exchange. All calls are ignored once the caller has disconnected.
class http_exchange {
public:
    explicit http_exchange(boost::intrusive_ptr<Internal::http_session> session, std::uint64_t number);
    http_exchange(const http_exchange&);
    http_exchange& operator=(const http_exchange&);
    ~http_exchange();

    const http_request& request() const;
    /// Moves the body out of the request. Its room is held until releaseBody() is called, or the exchange ends.
    std::string takeBody() const;
    void releaseBody() const;

    void respond(http_response response) const;
    /// Starts the answer. With a content length the body is sent as it is, without one in chunks.
    void beginStream(const http_response_head& head) const;
    void write(std::string_view piece) const;
    void endStream() const;
    /// Closes the connection after the answer, which has not begun yet ("Connection: close").
    void closeAfterAnswer() const;
    /// Resets the connection, so that the caller recognises the answer as truncated and does not take it for a complete one.
    void abort() const;

    bool isOpen() const;
    /// Bytes of the answer that have not been sent yet, because the caller reads slowly.
    std::size_t queuedBytes() const;
    /// Whether the server holds so many bytes for its callers that nothing should be read for those who do not take it.
    bool isMemoryScarce() const;
    /// \a handler is called when the caller closes its connection before the answer is complete.
    void setDisconnectHandler(std::function<void()> handler) const;
    /// \a handler is called whenever all queued bytes have been sent and the answer is not complete.
    void setDrainedHandler(std::function<void()> handler) const;

private:
    boost::intrusive_ptr<Internal::http_session> m_session;
    std::uint64_t m_number;
};

/// HTTP/1.1 server on one address. Single-threaded.
class http_server {
public:
    using request_handler = std::function<void(http_exchange)>;
    /// Makes the response to a request that exceeds a limit or cannot be parsed, or whose body finds no room (MemoryFull).
    using error_handler = std::function<http_response(std::error_code)>;

    /// \a guard: bounds the connections of all servers that share it; without one the server has one of its own.
    http_server(boost::asio::io_context& context, const http_server_limits& limits, request_handler onRequest,
        error_handler onError, std::shared_ptr<connection_guard> guard = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to accept connections. Returns AddressInUse when the address cannot be listened on.
    std::error_code listen(const endpoint& address);
    /// Port that the server listens on, for a server that was told to listen on port 0.
    std::uint16_t port() const;
    /// Applies to requests that begin after the call.
    void setLimits(const http_server_limits& limits);
    /// While draining, connections are closed after the answer in progress ("Connection: close").
    void setDraining(bool isDraining);
    /// Closes the connections without a request, so that their callers open new ones.
    void closeIdle();
    /// Sends \a response to all requests whose answers have not begun. Their exchanges ignore all further calls.
    void answerOpen(const http_response& response);
    /// Accepts no further connections and closes the idle ones.
    void stopAccepting();
    /// Requests whose answers are not complete.
    std::size_t openExchanges() const;

private:
    std::shared_ptr<Internal::http_server_state> m_state;
};

}
