#include "httpcall.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr std::chrono::seconds maxIdleTime { 15 };
    constexpr std::size_t maxIdlePerAddress = 64;
    /// Limit for the interim answers (1xx) before the final one.
    constexpr int maxInterimHeads = 16;

    bool isStillOpen(beast::tcp_stream& stream)
    {
        error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    /// No request asks for another protocol.
    bool isInterim(unsigned status)
    {
        return http::to_status_class(status) == http::status_class::informational && status != static_cast<unsigned>(http::status::switching_protocols);
    }

    /// Whether \a status is one of a final answer.
    bool isFinal(unsigned status)
    {
        const http::status_class statusClass = http::to_status_class(status);
        return statusClass != http::status_class::informational && statusClass != http::status_class::unknown;
    }

    /// Whether \a error says that bytes cannot be parsed, not that they ended.
    bool isMalformed(const error_code& error)
    {
        return error.category() == make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    }

    bool maySendBody(const std::string& method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

}

http_client_state::http_client_state(boost::asio::io_context& ioContext)
    : context(ioContext)
{
}

std::unique_ptr<beast::tcp_stream> http_client_state::takeIdle(const std::string& address)
{
    std::deque<pooled_connection>& connections = idle[address];
    while (!connections.empty()) {
        pooled_connection connection = std::move(connections.back());
        connections.pop_back();
        const bool isRecent = std::chrono::steady_clock::now() - connection.idleSince < maxIdleTime;
        if (isRecent && isStillOpen(*connection.stream))
            return std::move(connection.stream);
    }
    return nullptr;
}

void http_client_state::putIdle(const std::string& address, std::unique_ptr<beast::tcp_stream> stream)
{
    std::deque<pooled_connection>& connections = idle[address];
    connections.push_back({ std::move(stream), std::chrono::steady_clock::now() });
    if (connections.size() > maxIdlePerAddress)
        connections.pop_front();
}

void http_client_state::dropIdle(const std::string& address)
{
    idle.erase(address);
}

http_call::http_call(std::shared_ptr<http_client_state> state, endpoint address, http_call_options options,
    http_call_handlers handlers)
    : m_state(std::move(state))
    , m_address(std::move(address))
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(m_state->context)
{
}

void http_call::start(http_request request)
{
    const std::string_view fault = unsendablePart(request, maxUnparsedBytes);
    if (!fault.empty()) {
        boost::asio::post(m_state->context, [self = self_pointer(this), fault] {
            if (!self->m_isDone)
                self->finish({ result_code::MalformedRequest, "The request cannot be sent: " + std::string(fault) + "." });
        });
        return;
    }
    buildRequest(std::move(request));
    m_startedAt = std::chrono::steady_clock::now();
    if (m_options.mayReuseConnection)
        m_stream = m_state->takeIdle(toString(m_address));
    if (m_stream) {
        m_isReused = true;
        startTimer(m_options.timeout);
        write();
        return;
    }
    startTimer(m_options.connectTimeout > duration::zero() ? m_options.connectTimeout : m_options.timeout);
    connect();
}

void http_call::cancel()
{
    if (m_isDone)
        return;
    m_isDone = true;
    m_handlers = {};
    release();
}

void http_call::setTimeout(duration timeout)
{
    if (!m_isDone)
        startTimer(timeout);
}

void http_call::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    if (!isPaused && m_isHeadRead && !m_isReading && !m_isDone)
        readBody();
}

void http_call::startTimer(duration timeout)
{
    m_timer.expires_at(m_startedAt + timeout);
    m_timer.async_wait([self = self_pointer(this)](const error_code& error) {
        if (error || self->m_isDone)
            return;
        self->m_isTimedOut = true;
        self->fail(boost::asio::error::timed_out);
    });
}

void http_call::extendTimer()
{
    if (m_options.stallTimeout == duration::zero())
        return;
    const duration passed = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_startedAt);
    startTimer(std::min(passed + m_options.stallTimeout, maxTransferTime));
}

void http_call::buildRequest(http_request request)
{
    m_request.version(11);
    m_request.method_string(request.method);
    m_request.target(request.target);
    for (const http_header& header : request.headers)
        m_request.insert(header.name, header.value);
    if (m_request.find(http::field::host) == m_request.end())
        m_request.set(http::field::host, toString(m_address));
    m_body = std::move(request.body);
    m_request.body() = { m_body.view().data(), m_body.size() };
    if (!m_body.empty() || maySendBody(request.method))
        m_request.content_length(m_body.size());
}

void http_call::connect()
{
    error_code error;
    const tcp::endpoint target(boost::asio::ip::make_address(m_address.host, error), m_address.port);
    m_stream = std::make_unique<beast::tcp_stream>(m_state->context);
    if (error) {
        boost::asio::post(m_state->context, [self = self_pointer(this), error] { self->fail(error); });
        return;
    }
    m_stream->async_connect(target, [self = self_pointer(this)](const error_code& connectError) {
        if (self->m_isDone)
            return;
        if (connectError) {
            self->fail(connectError);
            return;
        }
        error_code ignored;
        self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
        self->startTimer(self->m_options.timeout);
        self->write();
    });
}

void http_call::write()
{
    m_isWritten = true;
    http::async_write(*m_stream, m_request, [self = self_pointer(this)](const error_code& error, std::size_t) {
        if (self->m_isDone)
            return;
        if (error) {
            self->fail(error);
            return;
        }
        self->releaseBody();
        self->readHead();
    });
}

/// The answer may take long, and the body that was sent may be large.
void http_call::releaseBody()
{
    m_request.body() = {};
    m_body = {};
}

void http_call::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(maxUnparsedBytes);
    m_parser->body_limit(m_options.bodyLimit);
    m_parser->skip(m_request.method() == http::verb::head);
    http::async_read_header(*m_stream, m_buffer, *m_parser, [self = self_pointer(this)](const error_code& error, std::size_t) {
        if (self->m_isDone)
            return;
        if (error) {
            self->fail(error);
            return;
        }
        self->onHeadRead();
    });
}

/// Skips interim answers, of which an upstream may send some before the final one.
void http_call::onHeadRead()
{
    const unsigned status = m_parser->get().result_int();
    if (isFinal(status)) {
        reportHead();
        return;
    }
    if (!isInterim(status)) {
        fail(http::error::bad_status);
        return;
    }
    if (++m_interimHeads > maxInterimHeads)
        fail(http::error::header_limit);
    else
        readHead();
}

void http_call::reportHead()
{
    m_isHeadRead = true;
    extendTimer();
    http_response_head head;
    head.status = static_cast<int>(m_parser->get().result_int());
    if (m_parser->content_length())
        head.contentLength = *m_parser->content_length();
    for (auto it = m_parser->get().begin(); it != m_parser->get().end(); ++it)
        head.headers.push_back({ std::string(it->name_string()), std::string(it->value()) });
    if (m_handlers.onHead)
        m_handlers.onHead(head);
    if (m_isDone)
        return;
    readBody();
}

void http_call::readBody()
{
    if (m_parser->is_done()) {
        onBodyRead({});
        return;
    }
    m_isReading = true;
    http::async_read_some(*m_stream, m_buffer, *m_parser, [self = self_pointer(this)](const error_code& error, std::size_t) {
        self->m_isReading = false;
        if (!self->m_isDone)
            self->onBodyRead(error);
    });
}

void http_call::onBodyRead(const error_code& error)
{
    if (error) {
        fail(error);
        return;
    }
    extendTimer();
    const std::string piece = std::exchange(m_parser->get().body(), {});
    if (!piece.empty() && m_handlers.onBody)
        m_handlers.onBody(piece);
    if (m_isDone)
        return;
    if (m_parser->is_done()) {
        finish({});
        return;
    }
    if (!m_isPaused)
        readBody();
}

void http_call::fail(const error_code& error)
{
    if (!m_isWritten) {
        finish({ result_code::UpstreamUnreachable, "No connection to " + toString(m_address) + ": " + error.message() + "." });
        return;
    }
    const std::string addressAndError = toString(m_address) + ": " + error.message() + ".";
    if (m_isTimedOut) {
        // When the network path is cut, the idle connections to the address do not work either.
        if (m_isReused)
            m_state->dropIdle(toString(m_address));
        finish({ result_code::UpstreamTimeout, "No complete answer in time from " + addressAndError });
        return;
    }
    const bool isCutShort = m_isHeadRead || error == http::error::body_limit;
    if (!isCutShort && isMalformed(error)) {
        finish({ result_code::UpstreamInvalid, "No answer of the protocol from " + addressAndError });
        return;
    }
    const result_code code = isCutShort ? result_code::UpstreamTruncated : result_code::UpstreamBroken;
    finish({ code, "The connection was closed before the answer was complete, " + addressAndError, error == http::error::body_limit });
}

void http_call::finish(const http_outcome& outcome)
{
    m_isDone = true;
    const bool isReusable = outcome.code == result_code::Ok && m_parser->keep_alive() && m_buffer.size() == 0;
    if (isReusable)
        m_state->putIdle(toString(m_address), std::move(m_stream));
    const std::function<void(const http_outcome&)> onDone = std::move(m_handlers.onDone);
    m_handlers = {};
    release();
    if (onDone)
        onDone(outcome);
}

void http_call::release()
{
    m_timer.cancel();
    if (!m_stream)
        return;
    error_code ignored;
    // Reset, so that data still queued on a cut network path does not arrive after the call has been abandoned. Once the
    // answer has begun, the peer has the request and has to learn of the end also over a path that was cut.
    if (m_isTimedOut || !m_isHeadRead)
        m_stream->socket().set_option(tcp::socket::linger(true, 0), ignored);
    m_stream->socket().close(ignored);
}

}
