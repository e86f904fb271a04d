#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

using boost::asio::ip::tcp;

namespace ragwortreach::StandIns {

tcp::endpoint parsedEndpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw boost::system::system_error(boost::asio::error::invalid_argument, address);
    const int port = std::atoi(address.c_str() + colon + 1);
    return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port) };
}

http_server::http_server(boost::asio::io_context& context, const std::string& address, request_handler handler)
    : m_context(context)
    , m_endpoint(parsedEndpoint(address))
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
    listen();
}

std::string http_server::address() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

void http_server::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

void http_server::crash(std::chrono::milliseconds span)
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (http_connection& connection : m_connections)
        connection.close();
    after(span, [this] { listen(); });
}

void http_server::listen()
{
    m_acceptor = tcp::acceptor(m_context, m_endpoint);
    m_endpoint = m_acceptor.local_endpoint();
    accept();
}

void http_server::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const http_connection_ptr connection(new http_connection(std::move(socket), m_handler));
            m_connections.push_back(*connection);
            connection->read();
        }
        accept();
    });
}

}
