#pragma once

#include "httpconnection.h"
#include "standincontrols.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace ragwortreach::StandIns {

/// Port of one stand-in. Answers the routes under /_standin itself and hands the others to its handler.
///
/// Runs on the thread of its io_context, which has to be stopped before the server goes.
class standin_server {
public:
    using action = std::function<void()>;

    /// Listens on "listen" ("ip:port", port 0 for a free one). Throws boost::system::system_error.
    standin_server(boost::asio::io_context& context, const nlohmann::json& settings, request_handler handler, action onFaults = {});

    /// Address in use, "ip:port".
    std::string address() const;
    standin_controls& controls() { return m_controls; }

    /// Calls \a done once after \a delay.
    void after(std::chrono::milliseconds delay, action done);
    void answerAfter(std::chrono::milliseconds delay, const http_connection_ptr& connection, const http_answer& answer);
    /// Posts \a body to http://\a address \a path and calls \a done with the status, 0 when there was none.
    void post(const std::string& address, const std::string& path, const std::string& body, std::function<void(int)> done);
    /// Closes all connections and refuses new ones for \a span, then listens on the same port again.
    void crash(std::chrono::milliseconds span);

private:
    /// Takes the port without accepting, so that connections are refused and nobody else gets the port.
    void bind();
    void listen();
    void accept();
    void handle(const http_connection_ptr& connection);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::acceptor m_acceptor;
    standin_controls m_controls;
    request_handler m_handler;
    action m_onFaults;
    boost::intrusive::list<http_connection, boost::intrusive::constant_time_size<false>> m_connections;
};

}
