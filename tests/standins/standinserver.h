#pragma once

#include "httpconnection.h"
#include "standincontrols.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace ragwortreach::StandIns {

/// HTTP server of one stand-in. Handles /_standin/counters and /_standin/faults itself and passes all other requests to
/// the handler of the stand-in.
///
/// Runs on the thread of its io_context, which has to be stopped before the server is destroyed.
class standin_server {
public:
    using action = std::function<void()>;

    /// Listens on the setting "listen" ("ip:port", port 0 for a free port). Calls \a onFaults after each change of
    /// faults. Throws boost::system::system_error.
    standin_server(boost::asio::io_context& context, const nlohmann::json& settings, request_handler handler, action onFaults = {});

    /// Address that the server listens on, "ip:port".
    std::string address() const;
    standin_controls& controls() { return m_controls; }

    /// Calls \a done once after \a delay.
    void after(std::chrono::milliseconds delay, action done);
    /// Sends \a answer after \a delay, immediately when it is 0.
    void answerAfter(std::chrono::milliseconds delay, const http_connection_ptr& connection, const http_answer& answer);
    /// Sends a POST request with \a body to \a path at \a address ("ip:port"). Calls \a done with the HTTP status, or 0
    /// when there was no answer.
    void post(const std::string& address, const std::string& path, const std::string& body, std::function<void(int)> done);
    /// Closes all connections and refuses new ones for \a span, then listens on the same port again.
    void crash(std::chrono::milliseconds downtime);

private:
    /// Binds the port without listening, so that connections are refused and no other process can take the port.
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
