#include "syncexchange.h"

#include <platform/endpoint.h>

#include <boost/asio/io_context.hpp>

namespace ragwortreach {

http_reply exchangeNow(const std::string& address, const http_request& request, std::chrono::milliseconds timeout)
{
    http_reply reply;
    const std::optional<endpoint> server = parseEndpoint(address);
    if (!server) {
        reply.outcome = { result_code::UpstreamUnreachable, "'" + address + "' is no address; expected an IP number and a port." };
        return reply;
    }
    boost::asio::io_context context;
    http_client client(context);
    http_call_options options;
    options.timeout = timeout;
    options.mayReuseConnection = false;
    client.callWhole(*server, request, options, [&reply](const http_outcome& outcome, const http_response& response) {
        reply.outcome = outcome;
        reply.response = response;
    });
    context.run();
    return reply;
}

}
