#pragma once

#include "connectionguard.h"
#include "httpserver.h"
#include "httpsession.h"
#include "messagelimits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <array>
#include <memory>
#include <system_error>

namespace ragwortreach::Internal {

/// State shared by the sessions of one server.
class http_server_state : public std::enable_shared_from_this<http_server_state> {
public:
    http_server_state(boost::asio::io_context& context, const http_server_limits& limits,
        http_server::request_handler onRequest, http_server::error_handler onError, std::shared_ptr<connection_guard> guard);

    std::error_code listen(const endpoint& address);
    void accept();
    /// Accepts connections again after a pause, since there may be no file descriptor for one.
    void pauseAccepting();
    void closeIdle();
    void answerOpen(const http_response& response);
    void stopAccepting();

    http_server_limits limits;
    http_server::request_handler onRequest;
    http_server::error_handler onError;
    std::shared_ptr<connection_guard> guard;
    connection_guard::port_number port;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    /// Where all sessions read what is discarded.
    std::array<char, maxUnparsedBytes> discarded {};
    boost::intrusive::list<http_session, boost::intrusive::constant_time_size<false>> sessions;
    std::size_t openExchanges = 0;
    bool isDraining = false;
};

}
