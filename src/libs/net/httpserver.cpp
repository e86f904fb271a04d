#include "httpserver.h"

#include "httpserverstate.h"

namespace ragwortreach {

http_exchange::http_exchange(boost::intrusive_ptr<Internal::http_session> session, std::uint64_t number)
    : m_session(std::move(session))
    , m_number(number)
{
}
http_exchange::http_exchange(const http_exchange&) = default;
http_exchange& http_exchange::operator=(const http_exchange&) = default;
http_exchange::~http_exchange() = default;

const http_request& http_exchange::request() const
{
    return m_session->request();
}

std::string http_exchange::takeBody() const
{
    return m_session->isCurrent(m_number) ? m_session->takeBody() : std::string();
}

void http_exchange::releaseBody() const
{
    if (m_session->isCurrent(m_number))
        m_session->releaseBody();
}

void http_exchange::respond(http_response response) const
{
    if (isOpen())
        m_session->respond(std::move(response));
}

void http_exchange::beginStream(const http_response_head& head) const
{
    if (isOpen())
        m_session->beginStream(head);
}

void http_exchange::write(std::string_view piece) const
{
    if (isOpen())
        m_session->write(piece);
}

void http_exchange::endStream() const
{
    if (isOpen())
        m_session->endStream();
}

void http_exchange::closeAfterAnswer() const
{
    if (isOpen())
        m_session->closeAfterAnswer();
}

void http_exchange::abort() const
{
    if (isOpen())
        m_session->abort();
}

bool http_exchange::isOpen() const
{
    return m_session->isCurrent(m_number);
}

std::size_t http_exchange::queuedBytes() const
{
    return isOpen() ? m_session->queuedBytes() : 0;
}

bool http_exchange::isMemoryScarce() const
{
    return m_session->isMemoryScarce();
}

void http_exchange::setDisconnectHandler(std::function<void()> handler) const
{
    if (isOpen())
        m_session->setDisconnectHandler(std::move(handler));
}

void http_exchange::setDrainedHandler(std::function<void()> handler) const
{
    if (isOpen())
        m_session->setDrainedHandler(std::move(handler));
}

http_server::http_server(boost::asio::io_context& context, const http_server_limits& limits,
    request_handler onRequest, error_handler onError, std::shared_ptr<connection_guard> guard)
    : m_state(std::make_shared<Internal::http_server_state>(context, limits, std::move(onRequest), std::move(onError), std::move(guard)))
{
}

http_server::~http_server()
{
    m_state->stopAccepting();
}

std::error_code http_server::listen(const endpoint& address)
{
    return m_state->listen(address);
}

std::uint16_t http_server::port() const
{
    boost::system::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

void http_server::setLimits(const http_server_limits& limits)
{
    m_state->limits = limits;
    m_state->guard->setLargestBody(m_state->port, limits.bodyBytes);
}

void http_server::setDraining(bool isDraining)
{
    m_state->isDraining = isDraining;
}

void http_server::closeIdle()
{
    m_state->closeIdle();
}

void http_server::answerOpen(const http_response& response)
{
    m_state->answerOpen(response);
}

void http_server::stopAccepting()
{
    m_state->stopAccepting();
}

std::size_t http_server::openExchanges() const
{
    return m_state->openExchanges;
}

}
