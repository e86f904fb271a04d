#pragma once

#include "bytebudget.h"
#include "connectionguard.h"
#include "httpmessage.h"
#include "messagelimits.h"

#include <core/resultcode.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ragwortreach::Internal {

class http_server_state;

/// Connection of one caller; it carries one exchange after another.
class http_session : public boost::intrusive_ref_counter<http_session, boost::thread_unsafe_counter>,
                     public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    http_session(std::shared_ptr<http_server_state> server, boost::asio::ip::tcp::socket socket);
    ~http_session();

    void start();
    /// Closes the connection when no exchange is open on it.
    void closeIfIdle();
    /// The same, but ends sending first: a request that crosses the close is discarded, and the caller sees an orderly end.
    void shutDownIfIdle();
    /// Answers the open exchange, unless its answer has begun, and detaches it from its handler.
    void answerOpen(const http_response& response);
    bool isExchangeOpen() const { return m_isExchangeOpen; }
    /// Whether neither an exchange is open nor a part of a request has been read.
    bool isIdle() const;

    const http_request& request() const { return m_request; }
    bool isCurrent(std::uint64_t number) const { return number == m_number && m_isExchangeOpen; }
    bool isMemoryScarce() const;
    std::string takeBody() { return m_request.body.take(); }
    void releaseBody();
    void respond(http_response response);
    void beginStream(const http_response_head& head);
    void write(std::string_view piece);
    void endStream();
    void closeAfterAnswer() { m_isKeepAlive = false; }
    void abort();
    std::size_t queuedBytes() const { return m_pending.size() + m_sending.size(); }
    void setDisconnectHandler(std::function<void()> handler) { m_onDisconnect = std::move(handler); }
    void setDrainedHandler(std::function<void()> handler) { m_onDrained = std::move(handler); }

private:
    using self_pointer = boost::intrusive_ptr<http_session>;

    void readRequest();
    void awaitRequest();
    /// Reads what comes next of the request.
    void readMore();
    void onBytesRead(const boost::system::error_code& error, std::size_t bytes);
    /// Parses what has been read, until the request is complete or more has to be read.
    void parse();
    /// Parses one part of what has been read; false when the request is complete or refused, or more has to be read.
    bool parsePart();
    void onHeadRead();
    /// Reports what the connection holds of unfinished requests, which may close this connection or others.
    void reportUnfinished();
    /// Closes the connection for the bounds of the process, or discards its pipelined requests while an exchange is open.
    void relieve();
    void shrinkBuffer();
    /// Clears the buffer and gives its memory back.
    void freeBuffer();
    void startCloseTimer(duration timeout);
    void startReadTimer();
    /// Holds what is announced of the body, or the memory of what has arrived of it; false when that is too much beside
    /// other bytes.
    bool holdBody();
    /// Closes connections whose bodies have paused until \a bytes of a body find room; false when they do not.
    bool makeRoomFor(std::size_t bytes);
    void refuseBody();
    void onRequestRead(const boost::system::error_code& error);
    void rejectRequest(result_code code);
    void openExchange();
    /// Queues the head of an answer.
    void beginAnswer(const http_response_head& head);
    /// Watches the socket while an exchange is open, to learn when the caller closes its connection.
    void watchForDisconnect();
    void queue(std::string_view bytes);
    void flush();
    void onFlushed(const boost::system::error_code& error);
    /// Frees the strings that were sent.
    void releaseSent();
    void completeExchange();
    /// Shuts down sending, then waits for the caller to close the connection.
    void closeGracefully();
    /// Closes the connection if the caller has not done so after a while.
    void startCloseDeadline();
    void discardInput();
    /// Ends the open exchange, closes the connection and calls the disconnect handler.
    void handleDisconnect();
    void close();

    std::shared_ptr<http_server_state> m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_readTimer;
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    std::optional<boost::beast::http::request_parser<growing_body>> m_parser;
    /// Memory that the parsed head of an incomplete request takes, about.
    std::size_t m_headBytes = 0;
    bool m_isHeadRead = false;
    http_request m_request;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onDrained;
    /// Room that the body of the request takes, and the part of the answer that waits for the caller.
    held_bytes m_heldBody;
    held_bytes m_heldAnswer;
    std::string m_pending;
    std::string m_sending;
    connection_guard::connection_number m_connection;
    std::uint64_t m_number = 0;
    bool m_isExchangeOpen = false;
    bool m_isAnswerBegun = false;
    /// Sending has ended; what the caller sends is discarded.
    bool m_isClosing = false;
    bool m_isAnswerComplete = false;
    bool m_isChunked = false;
    bool m_isHead = false;
    bool m_isKeepAlive = false;
};

}
