#include "silentaddress.h"

#include <sys/socket.h>

namespace ragwortreach::Tests {

namespace {

    using boost::asio::ip::tcp;

    /// Connections that fill the shortest queue.
    constexpr int queuedConnections = 4;

}

silent_address::silent_address()
    : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
{
    m_acceptor.listen(0);
    const tcp::endpoint address = m_acceptor.local_endpoint();
    m_text = address.address().to_string() + ":" + std::to_string(address.port());
    for (int connection = 0; connection < queuedConnections; ++connection) {
        m_queued.emplace_back(m_context, tcp::v4());
        m_queued.back().non_blocking(true);
        // The connect of Boost.Asio would wait for the connection, which this one only begins.
        static_cast<void>(::connect(m_queued.back().native_handle(), address.data(), static_cast<socklen_t>(address.size())));
    }
}

}
