#include "httpclient.h"

#include "httpcall.h"

#include <limits>

namespace ragwortreach {

http_call_handle::http_call_handle() = default;
http_call_handle::http_call_handle(boost::intrusive_ptr<Internal::http_call> call)
    : m_call(std::move(call))
{
}
http_call_handle::http_call_handle(const http_call_handle&) = default;
http_call_handle& http_call_handle::operator=(const http_call_handle&) = default;
http_call_handle::~http_call_handle() = default;

void http_call_handle::cancel()
{
    if (m_call)
        m_call->cancel();
    m_call = nullptr;
}

void http_call_handle::setTimeout(duration timeout)
{
    if (m_call)
        m_call->setTimeout(timeout);
}

void http_call_handle::setPaused(bool isPaused)
{
    if (m_call)
        m_call->setPaused(isPaused);
}

http_client::http_client(boost::asio::io_context& context)
    : m_state(std::make_shared<Internal::http_client_state>(context))
{
}

http_client::~http_client() = default;

http_call_handle http_client::call(const endpoint& address, http_request request, const http_call_options& options,
    http_call_handlers handlers)
{
    http_call_options unlimited = options;
    unlimited.bodyLimit = std::numeric_limits<std::uint64_t>::max();
    return start(address, std::move(request), unlimited, std::move(handlers));
}

http_call_handle http_client::start(const endpoint& address, http_request request, const http_call_options& options,
    http_call_handlers handlers)
{
    const boost::intrusive_ptr<Internal::http_call> call(
        new Internal::http_call(m_state, address, options, std::move(handlers)));
    call->start(std::move(request));
    return http_call_handle(call);
}

http_call_handle http_client::callBuffered(const endpoint& address, http_request request,
    const http_call_options& options, std::function<void(const http_outcome&, const http_response&)> handler)
{
    const std::shared_ptr<http_response> answer = std::make_shared<http_response>();
    http_call_handlers handlers;
    handlers.onHead = [answer](const http_response_head& head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    handlers.onBody = [answer](std::string_view piece) { answer->body += piece; };
    handlers.onDone = [answer, whenDone = std::move(handler)](const http_outcome& outcome) { whenDone(outcome, *answer); };
    return start(address, std::move(request), options, std::move(handlers));
}

}
