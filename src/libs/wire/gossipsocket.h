#pragma once

#include "messageclock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

struct gossip_message;

/// Counters of a gossip socket since its start.
struct gossip_socket_counters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Received datagrams that did not decode.
    std::uint64_t malformed = 0;
    /// Messages that could not be sent.
    std::uint64_t dropped = 0;
};

/// UDP socket that carries gossip messages.
class gossip_socket {
public:
    /// Receives the address of the sender and its message.
    using handler = std::function<void(std::string address, gossip_message message)>;

    explicit gossip_socket(boost::asio::io_context& context);
    ~gossip_socket();
    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;

    /// Binds to \a address ("ip:port"; port 0 takes a free one) and starts to receive.
    ///
    /// Returns MalformedMessage when \a address does not parse, AddressInUse when it cannot be bound.
    std::error_code open(std::string_view address);
    /// Address that the socket is bound to.
    std::string address() const;
    /// Sets the handler that is called with each well-formed message.
    void setHandler(handler handler);
    /// Sets the clock whose time is sent with each message. Without a clock messages carry 0.
    void setClock(message_clock clock);
    /// Sends \a message without waiting; a datagram that the system does not take is dropped and counted.
    void send(std::string_view address, gossip_message message);
    /// Stops receiving.
    void close();
    const gossip_socket_counters& counters() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

}
