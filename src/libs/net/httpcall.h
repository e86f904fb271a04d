#pragma once

#include "httpclient.h"
#include "messagelimits.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>
#include <map>
#include <optional>

namespace ragwortreach::Internal {

/// Idle connection, kept for reuse. It has carried complete answers only.
struct pooled_connection {
    std::unique_ptr<boost::beast::tcp_stream> stream;
    std::chrono::steady_clock::time_point idleSince;
};

/// Connection pool shared by the calls of one client. Its calls keep it alive after the client is destroyed.
struct http_client_state {
    explicit http_client_state(boost::asio::io_context& ioContext);

    /// Takes an idle connection to \a address that is still open; null when there is none.
    std::unique_ptr<boost::beast::tcp_stream> takeIdle(const std::string& address);
    void putIdle(const std::string& address, std::unique_ptr<boost::beast::tcp_stream> stream);
    /// Closes the idle connections to \a address.
    void dropIdle(const std::string& address);

    boost::asio::io_context& context;
    std::map<std::string, std::deque<pooled_connection>> idle;
};

/// One request and its answer on one connection.
class http_call : public boost::intrusive_ref_counter<http_call, boost::thread_unsafe_counter> {
public:
    http_call(std::shared_ptr<http_client_state> state, endpoint address, http_call_options options,
        http_call_handlers handlers);

    void start(http_request request);
    void cancel();
    void setTimeout(duration timeout);
    void setPaused(bool isPaused);

private:
    using self_pointer = boost::intrusive_ptr<http_call>;

    void startTimer(duration timeout);
    /// Gives the rest of the answer time to arrive, if the options allow for it.
    void extendTimer();
    void buildRequest(http_request request);
    void connect();
    void write();
    void releaseBody();
    void readHead();
    void onHeadRead();
    void reportHead();
    void readBody();
    void onBodyRead(const boost::system::error_code& error);
    void fail(const boost::system::error_code& error);
    void finish(const http_outcome& outcome);
    void release();

    std::shared_ptr<http_client_state> m_state;
    endpoint m_address;
    http_call_options m_options;
    http_call_handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    shared_text m_body;
    /// Refers to m_body.
    boost::beast::http::request<boost::beast::http::span_body<const char>> m_request;
    std::optional<boost::beast::http::response_parser<growing_body>> m_parser;
    int m_interimHeads = 0;
    std::chrono::steady_clock::time_point m_startedAt;
    bool m_isWritten = false;
    bool m_isReused = false;
    bool m_isHeadRead = false;
    bool m_isPaused = false;
    bool m_isReading = false;
    bool m_isTimedOut = false;
    bool m_isDone = false;
};

}
