#include <wire/gossipsocket.h>

#include <core/gossipmessage.h>
#include <core/resultcode.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;

TEST_CASE("Gossip carries the time of its sender over UDP, and malformed datagrams are counted")
{
    boost::asio::io_context context;
    gossip_socket left(context);
    gossip_socket right(context);
    REQUIRE_FALSE(left.open("127.0.0.1:0"));
    REQUIRE_FALSE(right.open("127.0.0.1:0"));
    CHECK(gossip_socket(context).open(left.address()) == result_code::AddressInUse);
    CHECK(gossip_socket(context).open("nonsense") == result_code::MalformedMessage);
    std::uint64_t observed = 0;
    left.setClock({ [] { return std::uint64_t(77); }, nullptr });
    right.setClock({ nullptr, [&observed](std::uint64_t time) { observed = time; } });
    const gossip_message sent { 0, "entry-a1", { 1, 2 }, 3, ping_body { 4, "entry-a2", false }, {}, {}, {} };
    gossip_message received;
    std::string source;
    right.setHandler([&](std::string address, gossip_message message) {
        source = std::move(address);
        received = std::move(message);
        left.close();
        right.close();
    });
    boost::asio::ip::udp::socket foreignSocket(context, boost::asio::ip::udp::v4());
    const std::string garbage(1300, 'x');
    const std::uint16_t port = static_cast<std::uint16_t>(std::stoi(right.address().substr(right.address().rfind(':') + 1)));
    foreignSocket.send_to(boost::asio::buffer(garbage), { boost::asio::ip::make_address("127.0.0.1"), port });
    const std::string leftAddress = left.address();
    left.send("no address", sent);
    left.send(right.address(), sent);
    context.run();
    CHECK(source == leftAddress);
    CHECK(received.body == sent.body);
    CHECK(observed == 77);
    CHECK(right.counters().malformed == 1);
    CHECK(left.counters().dropped == 1);
    CHECK(left.counters().sentBytes + garbage.size() - 99 == right.counters().receivedBytes);
}
