#include "freeaddresses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <random>
#include <set>

namespace ragwortreach::Tests {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

    /// Below the ports that the system gives to outgoing connections, which could take one before its daemon has started.
    constexpr unsigned short firstPort = 10000;
    constexpr unsigned short lastPort = 32000;

}

std::vector<std::string> freeAddresses(std::size_t count)
{
    // Who gets an address may use it later, so it is not given again.
    static std::set<unsigned short> givenPorts;
    std::random_device device;
    std::uniform_int_distribution<unsigned short> ports(firstPort, lastPort);
    boost::asio::io_context context;
    std::vector<tcp::acceptor> acceptors;
    std::vector<udp::socket> sockets;
    std::vector<std::string> addresses;
    while (addresses.size() < count) {
        tcp::acceptor acceptor(context, tcp::v4());
        udp::socket socket(context, udp::v4());
        const unsigned short port = ports(device);
        if (givenPorts.contains(port))
            continue;
        boost::system::error_code error;
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        // Daemons use some ports for gossip, over UDP.
        if (!error)
            socket.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        if (error)
            continue;
        givenPorts.insert(port);
        addresses.push_back("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        acceptors.push_back(std::move(acceptor));
        sockets.push_back(std::move(socket));
    }
    return addresses;
}

}
