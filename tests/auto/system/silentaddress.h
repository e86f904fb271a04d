#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// Loopback address at which connections hang, as behind a partition: its queue of new connections is full.
class silent_address {
public:
    silent_address();

    /// "ip:port".
    const std::string& text() const { return m_text; }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_queued;
    std::string m_text;
};

}
