#include "freeaddresses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace ragwortreach::Tests {

using boost::asio::ip::tcp;

std::vector<std::string> freeAddresses(std::size_t count)
{
    boost::asio::io_context context;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < count; ++index) {
        acceptors.emplace_back(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        addresses.push_back("127.0.0.1:" + std::to_string(acceptors.back().local_endpoint().port()));
    }
    return addresses;
}

}
