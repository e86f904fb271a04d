#include "httpsession.h"

#include <core/resultcode.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace ragwortreach::Internal {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using boost::system::error_code;

    /// Time that a caller has to read the last answer on a connection and close it.
    constexpr std::chrono::seconds closeTimeout { 2 };

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
    , m_heldBody(m_server->budget)
    , m_heldAnswer(m_server->budget)
{
    m_server->sessions.push_back(*this);
}

http_session::~http_session()
{
    if (m_isExchangeOpen)
        --m_server->openExchanges;
}

void http_session::start()
{
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
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = self_pointer(this)](const error_code& error, std::size_t) {
        if (error) {
            self->onRequestRead(error);
            return;
        }
        self->startReadTimer();
        self->readBody();
    });
}

void http_session::readBody()
{
    if (!holdBody()) {
        refuseBody();
        return;
    }
    if (m_parser->is_done()) {
        onRequestRead({});
        return;
    }
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = self_pointer(this)](const error_code& error, std::size_t) {
        if (error)
            self->onRequestRead(error);
        else
            self->readBody();
    });
}

/// The room of an announced body is held from the begin, so that a body that was begun is not refused for one that came
/// after it. Its memory is taken up as bytes arrive.
bool http_session::holdBody()
{
    std::string& body = m_parser->get().body();
    const std::size_t announced = static_cast<std::size_t>(m_parser->content_length().value_or(0));
    if (!m_heldBody.setBody(std::max(announced, body.size())))
        return false;
    if (announced > byte_budget::maxSmallBytes)
        body.reserve(announced);
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
    m_parser.reset();
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
    m_request.body.shrink_to_fit();
    m_isExchangeOpen = true;
    m_isAnswerBegun = false;
    m_isAnswerComplete = false;
    ++m_server->openExchanges;
    ++m_number;
    watchForDisconnect();
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
    return m_server->budget.isScarce();
}

void http_session::respond(http_response response)
{
    http_response_head head { response.status, std::move(response.headers), response.body.size() };
    beginStream(head);
    if (!m_isHead)
        queue(response.body);
    endStream();
}

void http_session::beginStream(const http_response_head& head)
{
    m_isAnswerBegun = true;
    m_isKeepAlive = m_isKeepAlive && !m_server->isDraining;
    m_isChunked = !head.contentLength && head.status != 204 && head.status != 304;
    m_pending += headText(head, m_isKeepAlive);
    flush();
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
    if (m_isChunked && !m_isHead)
        m_pending += "0\r\n\r\n";
    flush();
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
    if (m_sending.capacity() > byte_budget::maxSmallBytes)
        freeMemory(m_sending);
    m_sending.clear();
    m_heldAnswer.set(queuedBytes());
}

void http_session::completeExchange()
{
    if (!m_isExchangeOpen)
        return;
    m_isExchangeOpen = false;
    freeMemory(m_request.body);
    m_heldBody.set(0);
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
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(maxUnparsedBytes), [self = self_pointer(this)](const error_code& error, std::size_t) {
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
    error_code ignored;
    m_socket.close(ignored);
}

http_server_state::http_server_state(boost::asio::io_context& context, const http_server_limits& serverLimits,
    http_server::request_handler requestHandler, http_server::error_handler errorHandler)
    : limits(serverLimits)
    , onRequest(std::move(requestHandler))
    , onError(std::move(errorHandler))
    , acceptor(context)
    , budget(byte_budget::defaultLimit, serverLimits.bodyBytes)
{
}

std::error_code http_server_state::listen(const endpoint& address)
{
    error_code error;
    const tcp::endpoint local(boost::asio::ip::make_address(address.host, error), address.port);
    if (!error)
        acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return result_code::AddressInUse;
    accept();
    return {};
}

void http_server_state::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error) {
            const boost::intrusive_ptr<http_session> session(new http_session(self, std::move(socket)));
            session->start();
        }
        self->accept();
    });
}

void http_server_state::closeIdle()
{
    for (auto it = sessions.begin(); it != sessions.end(); ++it)
        it->shutDownIfIdle();
}

void http_server_state::answerOpen(const http_response& response)
{
    for (auto it = sessions.begin(); it != sessions.end(); ++it)
        it->answerOpen(response);
}

void http_server_state::stopAccepting()
{
    error_code ignored;
    acceptor.close(ignored);
    for (auto it = sessions.begin(); it != sessions.end(); ++it)
        it->closeIfIdle();
}

}
