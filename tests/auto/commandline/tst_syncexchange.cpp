#include <commandline/syncexchange.h>

#include <net/httpserver.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace ragwortreach;

namespace {

constexpr std::chrono::milliseconds generousTimeout { 20000 };

}

TEST_CASE("Complete answers are returned in the order of the requests")
{
    boost::asio::io_context context;
    http_server server(
        context, {}, [](const http_exchange& exchange) { exchange.respond({ 201, {}, exchange.request().method + exchange.request().target + std::string(exchange.request().body.view()) }); },
        [](std::error_code) { return http_response(); });
    REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    std::thread thread([&context] { context.run(); });
    http_request request;
    request.method = "POST";
    request.target = "/x";
    request.body = "body";
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    const addressed_request requests[] = { { address, request }, { address, { "GET", "/y", {}, "" } } };
    const std::vector<http_reply> replies = exchangeBlocking(requests, generousTimeout);
    context.stop();
    thread.join();
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].outcome.code == result_code::Ok);
    CHECK(replies[0].response.status == 201);
    CHECK(replies[0].response.body == "POST/xbody");
    CHECK(replies[1].response.body == "GET/y");
}

TEST_CASE("A daemon that cannot be reached is reported as unreachable, so that nothing was sent")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor closed(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::string address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    closed.close();
    const addressed_request requests[] = { { address, {} }, { "nowhere", {} } };
    for (const http_reply& reply : exchangeBlocking(requests, generousTimeout))
        CHECK(reply.outcome.code == result_code::UpstreamUnreachable);
}
