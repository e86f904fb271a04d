#include "syncexchange.h"

#include <net/endpoint.h>

#include <boost/asio/io_context.hpp>

namespace ragwortreach {

std::vector<http_reply> exchangeBlocking(std::span<const addressed_request> requests, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    http_client client(context);
    http_call_options options;
    options.timeout = timeout;
    options.mayReuseConnection = false;
    std::vector<http_reply> replies(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
        http_reply& reply = replies[i];
        const std::optional<endpoint> server = parseEndpoint(requests[i].address);
        if (!server) {
            reply.outcome = { result_code::UpstreamUnreachable, "'" + requests[i].address + "' is not an address; expected an IP number and a port." };
            continue;
        }
        client.callBuffered(*server, requests[i].request, options, [&reply](const http_outcome& outcome, const http_response& response) {
            reply.outcome = outcome;
            reply.response = response;
        });
    }
    context.run();
    return replies;
}

}
