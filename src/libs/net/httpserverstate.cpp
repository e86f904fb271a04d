#include "httpserverstate.h"

#include <core/resultcode.h>

#include <boost/asio/io_context.hpp>

#include <limits>

#include <sys/resource.h>

namespace ragwortreach::Internal {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    /// Time until connections are accepted again after a failure. Without it the process would only try to accept.
    constexpr std::chrono::milliseconds acceptPause { 20 };

    /// File descriptors that this process may open. The limit may be lowered while the process runs.
    std::size_t processDescriptors()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return std::numeric_limits<std::size_t>::max();
        return limit.rlim_cur;
    }

}

http_server_state::http_server_state(boost::asio::io_context& context, const http_server_limits& serverLimits,
    http_server::request_handler requestHandler, http_server::error_handler errorHandler,
    std::shared_ptr<connection_guard> sharedGuard)
    : limits(serverLimits)
    , onRequest(std::move(requestHandler))
    , onError(std::move(errorHandler))
    , guard(sharedGuard ? std::move(sharedGuard) : std::make_shared<connection_guard>())
    , port(guard->addPort())
    , acceptor(context)
    , acceptTimer(context)
{
    guard->setLargestBody(port, limits.bodyBytes);
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
        if (error) {
            self->pauseAccepting();
            return;
        }
        const boost::intrusive_ptr<http_session> session(new http_session(self, std::move(socket)));
        self->guard->setProcessDescriptors(processDescriptors());
        self->guard->enforce();
        session->start();
        self->accept();
    });
}

void http_server_state::pauseAccepting()
{
    guard->relieveDescriptors();
    acceptTimer.expires_after(acceptPause);
    acceptTimer.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error && self->acceptor.is_open())
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
    acceptTimer.cancel();
    for (auto it = sessions.begin(); it != sessions.end(); ++it)
        it->closeIfIdle();
}

}
