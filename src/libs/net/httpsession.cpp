#include "httpsession.h"

#include "httpserverstate.h"

#include <core/resultcode.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace ragwortreach::Internal {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using boost::system::error_code;

    /// Time that a caller has to read the last answer on a connection and close it.
    constexpr std::chrono::seconds closeTimeout { 2 };
    /// Memory of a parsed header field beside its text, about: a node of the parser and two strings of the request.
    constexpr std::size_t fieldOverhead = 128;

    /// Size up to which a buffer is kept for what comes next on its connection.
    constexpr std::size_t keptBufferBytes = 4096;

    std::string headText(const http_response_head& head, bool isKeepAlive)
    {
        std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
        text += std::string(http::obsolete_reason(static_cast<http::status>(head.status)));
        text += "\r\n";
        for (const http_header& header : head.headers)
            text += header.name + ": " + header.value + "\r\n";
        const bool hasNoBody = head.status == 204 || head.status == 304;
        if (head.contentLength)
            text += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
        else if (!hasNoBody)
            text += "Transfer-Encoding: chunked\r\n";
        if (!isKeepAlive)
            text += "Connection: close\r\n";
        return text + "\r\n";
    }

    std::string chunkSizeLine(std::size_t size)
    {
        std::array<char, 20> digits {};
        const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
        return std::string(digits.data(), end.ptr) + "\r\n";
    }

    /// Memory that \a body takes, about. Of a large string only those pages count that were written.
    std::size_t memoryOf(const std::string& body)
    {
        return body.capacity() > byte_budget::maxSmallBytes ? body.size() : body.capacity();
    }

    instant steadyNow()
    {
        return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    /// Clears \a text and gives its memory back, which neither clear() nor an assignment does.
    void freeMemory(std::string& text)
    {
        std::string().swap(text);
    }

    result_code readResult(const error_code& error)
    {
        if (error == http::error::header_limit)
            return result_code::HeaderTooLarge;
        if (error == http::error::body_limit)
            return result_code::BodyTooLarge;
        return result_code::MalformedRequest;
    }

    bool isParseError(const error_code& error)
    {
        return error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
    }

}

http_session::http_session(std::shared_ptr<http_server_state> server, tcp::socket socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_readTimer(m_socket.get_executor())
    , m_heldBody(m_server->guard->bodies())
    , m_heldAnswer(m_server->guard->bodies())
    , m_connection(m_server->guard->add(m_server->port, [this] { relieve(); }))
{
    m_server->sessions.push_back(*this);
}

http_session::~http_session()
{
    m_server->guard->remove(m_connection);
    if (m_isExchangeOpen)
        --m_server->openExchanges;
}

void http_session::start()
{
    if (!m_socket.is_open())
        return;
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    awaitRequest();
}

void http_session::closeIfIdle()
{
    if (isIdle())
        close();
}

bool http_session::isIdle() const
{
    const bool isReadingRequest = m_parser && m_parser->got_some() && !m_parser->is_done();
    return !m_isExchangeOpen && !isReadingRequest && m_buffer.size() == 0;
}

void http_session::shutDownIfIdle()
{
    error_code error;
    if (!isIdle() || m_isClosing || m_socket.available(error) > 0)
        return;
    m_isClosing = true;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    startCloseDeadline();
}

void http_session::answerOpen(const http_response& response)
{
    if (!m_isExchangeOpen || m_isAnswerBegun)
        return;
    ++m_number;
    m_onDisconnect = nullptr;
    m_onDrained = nullptr;
    respond(response);
}

/// Waits for the first byte of a request, at most the idle time-out.
void http_session::awaitRequest()
{
    if (m_buffer.size() != 0 || m_server->limits.idleTimeout == duration::zero()) {
        readRequest();
        return;
    }
    startCloseTimer(m_server->limits.idleTimeout);
    m_socket.async_wait(tcp::socket::wait_read, [self = self_pointer(this)](const error_code& error) {
        if (self->m_isClosing) {
            self->discardInput();
            return;
        }
        self->m_readTimer.cancel();
        if (!error)
            self->readRequest();
    });
}

/// Closes the connection after \a timeout. If unread bytes have arrived by then, this process may have been suspended, so
/// the timer is started again.
void http_session::startCloseTimer(duration timeout)
{
    m_readTimer.expires_after(timeout);
    m_readTimer.async_wait([self = self_pointer(this), timeout](const error_code& error) {
        if (error || self->m_isExchangeOpen)
            return;
        error_code readError;
        if (self->m_socket.available(readError) > 0)
            self->startCloseTimer(timeout);
        else
            self->close();
    });
}

void http_session::readRequest()
{
    if (m_server->limits.headerTimeout != duration::zero())
        startCloseTimer(m_server->limits.headerTimeout);
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(std::min(m_server->limits.headerBytes, maxUnparsedBytes)));
    m_parser->body_limit(m_server->limits.bodyBytes);
    m_headBytes = 0;
    m_isHeadRead = false;
    parse();
}

void http_session::readMore()
{
    const std::size_t size = boost::beast::read_size(m_buffer, maxUnparsedBytes);
    if (size == 0) {
        onRequestRead(http::make_error_code(http::error::buffer_overflow));
        return;
    }
    m_socket.async_read_some(m_buffer.prepare(size),
        [self = self_pointer(this)](const error_code& error, std::size_t bytes) { self->onBytesRead(error, bytes); });
}

void http_session::onBytesRead(const error_code& error, std::size_t bytes)
{
    // The connection may have been closed after the bytes had arrived.
    if (!m_socket.is_open())
        return;
    m_buffer.commit(bytes);
    if (!error) {
        parse();
        return;
    }
    error_code result = error;
    if (error == boost::asio::error::eof) {
        result = http::make_error_code(http::error::end_of_stream);
        if (m_parser->got_some()) {
            result = {};
            m_parser->put_eof(result);
        }
    }
    onRequestRead(result);
}

void http_session::parse()
{
    while (parsePart()) { }
}

bool http_session::parsePart()
{
    error_code error = http::make_error_code(http::error::need_more);
    if (m_buffer.size() > 0) {
        const std::size_t parsed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(parsed);
        if (!m_isHeadRead)
            m_headBytes += parsed;
    }
    const bool needsMore = error == http::error::need_more;
    if (error && !needsMore) {
        onRequestRead(error);
        return false;
    }
    if (!m_isHeadRead && m_parser->is_header_done())
        onHeadRead();
    if (m_isHeadRead && !holdBody()) {
        refuseBody();
        return false;
    }
    if (m_parser->is_done()) {
        onRequestRead({});
        return false;
    }
    if (m_buffer.size() > 0 && !needsMore)
        return true;
    reportUnfinished();
    if (m_socket.is_open())
        readMore();
    return false;
}

void http_session::onHeadRead()
{
    m_isHeadRead = true;
    m_headBytes += fieldOverhead * static_cast<std::size_t>(std::distance(m_parser->get().begin(), m_parser->get().end()));
    shrinkBuffer();
    startReadTimer();
}

void http_session::reportUnfinished()
{
    const self_pointer self(this);
    if (m_buffer.size() == 0)
        shrinkBuffer();
    // An empty buffer is at most of the size that is kept.
    const std::size_t buffered = m_buffer.size() == 0 ? 0 : m_buffer.capacity();
    m_server->guard->setUnfinished(m_connection, m_headBytes + buffered);
    m_server->guard->enforce();
}

void http_session::relieve()
{
    const self_pointer self(this);
    if (!m_isExchangeOpen || m_isAnswerComplete) {
        handleDisconnect();
        return;
    }
    freeBuffer();
    m_isKeepAlive = false;
    watchForDisconnect();
}

/// A large head must not leave a large buffer behind on a connection that may stay open for long.
void http_session::shrinkBuffer()
{
    if (m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
}

void http_session::freeBuffer()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

/// The room of an announced body is held from the begin, so that a body that was begun is not refused for one that came
/// after it. Its memory is taken up as bytes arrive.
bool http_session::holdBody()
{
    std::string& body = m_parser->get().body();
    const std::size_t announced = static_cast<std::size_t>(m_parser->content_length().value_or(0));
    const std::size_t held = body.empty() ? announced : std::max(announced, memoryOf(body));
    if (held == 0)
        return true;
    if (!makeRoomFor(held))
        return false;
    // Most bodies arrive with their heads, and are never unfinished.
    if (!m_parser->is_done())
        m_server->guard->noteBodyPart(m_connection, steadyNow());
    if (announced > byte_budget::maxSmallBytes)
        body.reserve(announced);
    return true;
}

bool http_session::makeRoomFor(std::size_t bytes)
{
    // A small body does not wait for a pause, so that bodies which do not end cannot keep ordinary callers out.
    const duration pause = bytes > byte_budget::maxSmallBytes ? connection_guard::maxBodyPause : duration::zero();
    while (!m_heldBody.setBody(bytes)) {
        if (!m_server->guard->closePausedBody(m_connection, pause, steadyNow()))
            return false;
    }
    return true;
}

void http_session::refuseBody()
{
    if (m_isClosing) {
        close();
        return;
    }
    m_readTimer.cancel();
    rejectRequest(result_code::MemoryFull);
}

void http_session::startReadTimer()
{
    m_readTimer.expires_after(m_server->limits.readTimeout);
    m_readTimer.async_wait([self = self_pointer(this)](const error_code& error) {
        if (!error)
            self->close();
    });
}

void http_session::onRequestRead(const error_code& error)
{
    if (m_isClosing) {
        close();
        return;
    }
    m_readTimer.cancel();
    if (!error) {
        openExchange();
        return;
    }
    if (isParseError(error)) {
        rejectRequest(readResult(error));
        return;
    }
    close();
}

void http_session::rejectRequest(result_code code)
{
    if (code == result_code::HeaderTooLarge)
        m_server->guard->noteHeaderTooLarge();
    else if (code == result_code::MalformedRequest)
        m_server->guard->noteMalformed();
    m_parser.reset();
    m_headBytes = 0;
    freeBuffer();
    m_server->guard->setUnfinished(m_connection, 0);
    m_server->guard->endBody(m_connection);
    m_heldBody.set(0);
    m_isKeepAlive = false;
    m_isExchangeOpen = true;
    m_isAnswerBegun = false;
    ++m_server->openExchanges;
    ++m_number;
    respond(m_server->onError(code));
}

void http_session::openExchange()
{
    http::request<growing_body> message = m_parser->release();
    m_isKeepAlive = message.keep_alive();
    m_isHead = message.method() == http::verb::head;
    m_request = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (auto it = message.begin(); it != message.end(); ++it)
        m_request.headers.push_back({ std::string(it->name_string()), std::string(it->value()) });
    m_request.body = std::move(message.body());
    m_server->guard->endBody(m_connection);
    m_isExchangeOpen = true;
    m_isAnswerBegun = false;
    m_isAnswerComplete = false;
    ++m_server->openExchanges;
    ++m_number;
    m_headBytes = 0;
    shrinkBuffer();
    m_server->guard->setServed(m_connection);
    watchForDisconnect();
    reportUnfinished();
    m_server->onRequest(http_exchange(self_pointer(this), m_number));
}

void http_session::watchForDisconnect()
{
    if (m_buffer.size() != 0)
        return;
    m_socket.async_wait(tcp::socket::wait_read, [self = self_pointer(this), number = m_number](const error_code& error) {
        if (error || !self->isCurrent(number) || self->m_isAnswerComplete)
            return;
        error_code readError;
        if (self->m_socket.available(readError) == 0)
            self->handleDisconnect();
    });
}

bool http_session::isMemoryScarce() const
{
    return m_server->guard->bodies().isScarce();
}

void http_session::releaseBody()
{
    m_request.body = {};
    m_heldBody.set(0);
}

void http_session::respond(http_response response)
{
    beginAnswer({ response.status, std::move(response.headers), response.body.size() });
    if (!m_isHead)
        m_pending += response.body;
    endStream();
}

void http_session::beginStream(const http_response_head& head)
{
    beginAnswer(head);
    flush();
}

void http_session::beginAnswer(const http_response_head& head)
{
    m_isAnswerBegun = true;
    m_isKeepAlive = m_isKeepAlive && !m_server->isDraining;
    m_isChunked = !head.contentLength && head.status != 204 && head.status != 304;
    m_pending += headText(head, m_isKeepAlive);
}

void http_session::write(std::string_view piece)
{
    if (piece.empty() || m_isHead)
        return;
    if (!m_isChunked) {
        queue(piece);
        return;
    }
    m_pending += chunkSizeLine(piece.size());
    m_pending += piece;
    queue("\r\n");
}

void http_session::endStream()
{
    m_isAnswerComplete = true;
    m_server->guard->setWaiting(m_connection);
    if (m_isChunked && !m_isHead)
        m_pending += "0\r\n\r\n";
    flush();
    m_server->guard->setUnread(m_connection, queuedBytes());
    // The handler that ended the answer is still running, so no connection is closed here.
    if (m_server->guard->isExceeded())
        boost::asio::post(m_socket.get_executor(), [server = m_server] { server->guard->enforce(); });
}

void http_session::abort()
{
    error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_onDisconnect = nullptr;
    handleDisconnect();
}

void http_session::queue(std::string_view bytes)
{
    m_pending += bytes;
    flush();
}

void http_session::flush()
{
    if (!m_sending.empty() || m_pending.empty()) {
        m_heldAnswer.set(queuedBytes());
        return;
    }
    std::swap(m_sending, m_pending);
    m_heldAnswer.set(queuedBytes());
    boost::asio::async_write(m_socket, boost::asio::buffer(m_sending),
        [self = self_pointer(this)](const error_code& error, std::size_t) { self->onFlushed(error); });
}

void http_session::onFlushed(const error_code& error)
{
    releaseSent();
    if (error) {
        handleDisconnect();
        return;
    }
    if (!m_pending.empty()) {
        flush();
        return;
    }
    if (m_isAnswerComplete) {
        completeExchange();
        return;
    }
    if (m_onDrained)
        m_onDrained();
}

void http_session::releaseSent()
{
    // The connection may stay open for long.
    if (m_sending.capacity() > keptBufferBytes)
        freeMemory(m_sending);
    m_sending.clear();
    m_heldAnswer.set(queuedBytes());
    if (m_isAnswerComplete)
        m_server->guard->setUnread(m_connection, queuedBytes());
}

void http_session::completeExchange()
{
    if (!m_isExchangeOpen)
        return;
    m_isExchangeOpen = false;
    releaseBody();
    --m_server->openExchanges;
    m_onDisconnect = nullptr;
    m_onDrained = nullptr;
    if (!m_isKeepAlive || m_server->isDraining) {
        closeGracefully();
        return;
    }
    awaitRequest();
}

/// Reads and discards input until the caller closes the connection. Closing with unread data would reset the connection, and
/// the caller could lose the answer.
void http_session::closeGracefully()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    startCloseDeadline();
    discardInput();
}

void http_session::startCloseDeadline()
{
    m_readTimer.expires_after(closeTimeout);
    m_readTimer.async_wait([self = self_pointer(this)](const error_code& error) {
        if (!error)
            self->close();
    });
}

void http_session::discardInput()
{
    freeBuffer();
    m_server->guard->setUnfinished(m_connection, 0);
    m_socket.async_read_some(boost::asio::buffer(m_server->discarded), [self = self_pointer(this)](const error_code& error, std::size_t) {
        if (error)
            self->close();
        else
            self->discardInput();
    });
}

void http_session::handleDisconnect()
{
    if (m_isExchangeOpen) {
        m_isExchangeOpen = false;
        --m_server->openExchanges;
    }
    const std::function<void()> onDisconnect = std::exchange(m_onDisconnect, nullptr);
    m_onDrained = nullptr;
    close();
    if (onDisconnect)
        onDisconnect();
}

void http_session::close()
{
    m_readTimer.cancel();
    m_server->guard->remove(m_connection);
    error_code ignored;
    m_socket.close(ignored);
    // Handlers that are still queued keep the session alive; the body of an incomplete request is not to wait for them.
    if (m_parser && !m_parser->is_done()) {
        m_parser.reset();
        m_heldBody.set(0);
    }
}

}
