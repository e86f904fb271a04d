#pragma once

#include "httpconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace ragwortreach::StandIns {

/// HTTP/1.1 server on one loopback port.
///
/// Runs on the thread of its io_context, which has to be stopped before the server goes.
class http_server {
public:
    /// Listens on \a address ("ip:port", port 0 for a free one). Throws boost::system::system_error.
    http_server(boost::asio::io_context& context, const std::string& address, request_handler handler);

    /// Address in use, "ip:port".
    std::string address() const;
    /// Calls \a action once after \a delay.
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    /// Closes all connections and refuses new ones for \a span, then listens on the same port again.
    void crash(std::chrono::milliseconds span);

private:
    using connection_list = boost::intrusive::list<http_connection, boost::intrusive::constant_time_size<false>>;

    void listen();
    void accept();

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    connection_list m_connections;
};

/// Endpoint written as "ip:port". Throws boost::system::system_error.
boost::asio::ip::tcp::endpoint parsedEndpoint(const std::string& address);

}
