#include <wire/zeromqsocket.h>

#include <catch2/catch.hpp>

#include <poll.h>

using namespace ragwortreach::Internal;

namespace {

void waitForSignal(zmq::socket_t& socket)
{
    pollfd descriptor { socket.get(zmq::sockopt::fd), POLLIN, 0 };
    while (poll(&descriptor, 1, -1) != 1)
        continue;
}

zmq::message_t makeMessage(const std::string& text)
{
    return zmq::message_t(text.data(), text.size());
}

}

TEST_CASE("A message whose signal was consumed by a send is still received")
{
    boost::asio::io_context context;
    zmq::context_t library(1);
    std::vector<std::string> received;
    std::shared_ptr<zeromq_socket> left;
    left = std::make_shared<zeromq_socket>(context, library, zmq::socket_type::pair, [&] {
        while (left->isReadable())
            received.push_back(left->receive().front().to_string());
    });
    left->socket().bind("inproc://pair");
    zmq::socket_t right(library, zmq::socket_type::pair);
    right.connect("inproc://pair");
    left->start();
    context.poll();
    for (int round = 1; round <= 50; ++round) {
        right.send(makeMessage("answer"), zmq::send_flags::none);
        waitForSignal(left->socket());
        // Reading the events consumes the signal, as a send does.
        REQUIRE(left->isReadable());
        std::vector<zmq::message_t> parts;
        parts.push_back(makeMessage("question"));
        const bool isSent = left->send(std::move(parts));
        REQUIRE(isSent);
        context.poll();
        REQUIRE(received.size() == static_cast<std::size_t>(round));
    }
    left->close();
}
