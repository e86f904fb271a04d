#include "standinserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <memory>
#include <utility>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace ragwortreach::StandIns {

namespace {

    tcp::endpoint parsedEndpoint(const std::string& address)
    {
        const std::size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            throw boost::system::system_error(boost::asio::error::invalid_argument, address);
        const int port = std::atoi(address.c_str() + colon + 1);
        return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port) };
    }

    /// Outgoing POST request on a connection of its own. The answer ends when the peer closes the connection.
    struct outgoing_post {
        explicit outgoing_post(boost::asio::io_context& context)
            : socket(context)
        {
        }

        /// HTTP status of the answer; 0 when none was received.
        int status() const
        {
            const std::size_t space = received.find(' ');
            return space == std::string::npos ? 0 : std::atoi(received.c_str() + space);
        }

        tcp::socket socket;
        std::string sent;
        std::string received;
    };

}

standin_server::standin_server(boost::asio::io_context& context, const nlohmann::json& settings, request_handler handler, action onFaults)
    : m_context(context)
    , m_endpoint(parsedEndpoint(settings.value("listen", "127.0.0.1:0")))
    , m_acceptor(context)
    , m_controls(settings.value("faults", nlohmann::json::object()))
    , m_handler(std::move(handler))
    , m_onFaults(std::move(onFaults))
{
    bind();
    listen();
}

std::string standin_server::address() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

void standin_server::after(std::chrono::milliseconds delay, action done)
{
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, done = std::move(done)](error_code error) {
        if (!error)
            done();
    });
}

void standin_server::answerAfter(std::chrono::milliseconds delay, const http_connection_ptr& connection, const http_answer& answer)
{
    if (delay.count() <= 0)
        connection->answer(answer);
    else
        after(delay, [connection, answer] { connection->answer(answer); });
}

void standin_server::post(const std::string& address, const std::string& path, const std::string& body, std::function<void(int)> done)
{
    const std::shared_ptr<outgoing_post> call = std::make_shared<outgoing_post>(m_context);
    call->sent = "POST " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    call->socket.async_connect(parsedEndpoint(address), [call, done = std::move(done)](error_code error) {
        if (error) {
            done(0);
            return;
        }
        boost::asio::async_write(call->socket, boost::asio::buffer(call->sent), [](error_code, std::size_t) {});
        boost::asio::async_read(call->socket, boost::asio::dynamic_buffer(call->received),
            [call, done](error_code, std::size_t) { done(call->status()); });
    });
}

void standin_server::crash(std::chrono::milliseconds downtime)
{
    bind();
    for (http_connection& connection : m_connections)
        connection.close();
    after(downtime, [this] { listen(); });
}

void standin_server::bind()
{
    m_acceptor = tcp::acceptor(m_context);
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_endpoint = m_acceptor.local_endpoint();
}

void standin_server::listen()
{
    m_acceptor.listen();
    accept();
}

void standin_server::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const http_connection_ptr connection(new http_connection(std::move(socket), [this](const http_connection_ptr& ready) { handle(ready); }));
            m_connections.push_back(*connection);
            connection->read();
        }
        accept();
    });
}

void standin_server::handle(const http_connection_ptr& connection)
{
    const std::string path = requestPath(connection->request());
    if (path == "/_standin/counters")
        connection->answer({ 200, m_controls.counters() });
    else if (path == "/_standin/faults") {
        m_controls.change(requestJson(connection->request()));
        connection->answer({ 200, m_controls.faults() });
        if (m_onFaults)
            m_onFaults();
    } else
        m_handler(connection);
}

}
