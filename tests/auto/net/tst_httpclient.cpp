#include <net/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;
using boost::asio::ip::tcp;

TEST_CASE("A call that times out resets its connection, so that no part of its request arrives later")
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket unresponsive(context);
    acceptor.async_accept(unresponsive, [](const boost::system::error_code&) {});
    http_client client(context);
    http_call_options options;
    options.timeout = std::chrono::milliseconds(100);
    std::optional<http_outcome> outcome;
    client.callBuffered({ "127.0.0.1", acceptor.local_endpoint().port() }, { "POST", "/api/order", {}, "order" }, options,
        [&outcome](const http_outcome& ended, const http_response&) { outcome = ended; });
    while (!outcome)
        REQUIRE(context.run_one_for(std::chrono::seconds(10)) == 1);
    CHECK(outcome->code == result_code::UpstreamTimeout);
    std::string received;
    boost::system::error_code error;
    boost::asio::read(unresponsive, boost::asio::dynamic_buffer(received), error);
    CHECK(error == boost::asio::error::connection_reset);
}
