#include "gossipsocket.h"

#include "gossipcodec.h"
#include "socketaddress.h"

#include <core/gossipmessage.h>
#include <core/resultcode.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <utility>

namespace ragwortreach {

using boost::asio::ip::udp;

class gossip_socket::state : public std::enable_shared_from_this<gossip_socket::state> {
    friend class gossip_socket;

public:
    explicit state(boost::asio::io_context& context)
        : m_socket(context)
    {
    }

    std::error_code open(std::string_view address);
    void receive();
    void onDatagram(const boost::system::error_code& error, std::size_t size);
    void send(std::string_view address, gossip_message message);
    void close();

private:
    void deliver(std::size_t size);

    udp::socket m_socket;
    handler m_handler;
    message_clock m_clock;
    gossip_socket_counters m_counters;
    std::array<char, maxGossipMessageSize + 1> m_buffer {};
    udp::endpoint m_sender;
};

std::error_code gossip_socket::state::open(std::string_view address)
{
    const std::optional<socket_address> parsed = parseSocketAddress(address);
    if (!parsed)
        return result_code::MalformedMessage;
    const udp::endpoint endpoint(parsed->ip, parsed->port);
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return result_code::AddressInUse;
    receive();
    return {};
}

void gossip_socket::state::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) { self->onDatagram(error, size); });
}

void gossip_socket::state::onDatagram(const boost::system::error_code& error, std::size_t size)
{
    if (!m_socket.is_open())
        return;
    if (!error)
        deliver(size);
    if (m_socket.is_open())
        receive();
}

void gossip_socket::state::deliver(std::size_t size)
{
    ++m_counters.received;
    m_counters.receivedBytes += size;
    gossip_message message;
    if (decodeGossip(std::string_view(m_buffer.data(), size), message)) {
        ++m_counters.malformed;
        return;
    }
    if (m_clock.observe)
        m_clock.observe(message.hybridTime);
    if (m_handler)
        m_handler(formatSocketAddress({ m_sender.address(), m_sender.port() }), std::move(message));
}

void gossip_socket::state::send(std::string_view address, gossip_message message)
{
    const std::optional<socket_address> parsed = parseSocketAddress(address);
    if (!parsed || !m_socket.is_open()) {
        ++m_counters.dropped;
        return;
    }
    if (m_clock.read)
        message.hybridTime = m_clock.read();
    const std::string bytes = encodeGossip(message);
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(bytes), udp::endpoint(parsed->ip, parsed->port), 0, error);
    if (error) {
        ++m_counters.dropped;
        return;
    }
    ++m_counters.sent;
    m_counters.sentBytes += bytes.size();
}

void gossip_socket::state::close()
{
    boost::system::error_code error;
    m_socket.close(error);
    m_handler = nullptr;
}

gossip_socket::gossip_socket(boost::asio::io_context& context)
    : m_state(std::make_shared<state>(context))
{
}

gossip_socket::~gossip_socket()
{
    close();
}

std::error_code gossip_socket::open(std::string_view address)
{
    return m_state->open(address);
}

std::string gossip_socket::address() const
{
    boost::system::error_code error;
    const udp::endpoint endpoint = m_state->m_socket.local_endpoint(error);
    return error ? std::string() : formatSocketAddress({ endpoint.address(), endpoint.port() });
}

void gossip_socket::setHandler(handler handler)
{
    m_state->m_handler = std::move(handler);
}

void gossip_socket::setClock(message_clock clock)
{
    m_state->m_clock = std::move(clock);
}

void gossip_socket::send(std::string_view address, gossip_message message)
{
    m_state->send(address, std::move(message));
}

void gossip_socket::close()
{
    m_state->close();
}

const gossip_socket_counters& gossip_socket::counters() const
{
    return m_state->m_counters;
}

}
