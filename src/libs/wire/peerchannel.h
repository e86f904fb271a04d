#pragma once

#include "messageclock.h"
#include <core/peermessage.h>

#include <core/instant.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

/// Counters of a peer channel since its start.
struct peer_channel_counters {
    std::uint64_t requestsSent = 0;
    std::uint64_t repliesReceived = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t requestsReceived = 0;
    /// Requests that were not run because their caller no longer waits.
    std::uint64_t requestsExpired = 0;
    /// Replies that could not be sent.
    std::uint64_t repliesDropped = 0;
    /// Received messages that did not decode.
    std::uint64_t malformed = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// Requests and replies between daemons over ZeroMQ.
///
/// Not thread-safe: calls must be made, and callbacks come, on the thread that runs the io_context. A request waits in
/// the channel, not in ZeroMQ, until the peer is connected, so a request that timed out is never sent. The receiver does
/// not run a request whose time left has passed when it reads it, and answers it with PeerUnreachable.
class peer_channel {
public:
    using reply_handler = std::function<void(std::error_code, peer_reply)>;
    using reply_sender = std::function<void(peer_reply)>;
    using request_handler = std::function<void(peer_request, reply_sender)>;

    /// Binds to \a bindAddress ("ip:port"; port 0 takes a free one).
    ///
    /// Throws std::system_error with AddressInUse when the address is taken.
    peer_channel(boost::asio::io_context& context, const std::string& bindAddress);
    ~peer_channel();
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;

    /// Address that the channel is bound to.
    std::string address() const;
    /// Sends \a request to the daemon at \a address and calls \a handler once.
    ///
    /// The error is PeerUnreachable when the request never left this daemon, PeerTimeout when it was sent and
    /// no reply came within \a timeout, MalformedMessage when the reply did not parse. An error_reply of the peer is
    /// passed on without an error. \a handler is never called from within request(), and not after close().
    void request(const std::string& address, peer_request request, duration timeout, reply_handler handler);
    /// Sets the handler that is called with each request. The reply_sender may be kept and called later, once, on the
    /// same thread.
    void setHandler(request_handler handler);
    /// Sets the clock whose time is sent with each message. Without a clock messages carry 0.
    void setClock(message_clock clock);
    /// Closes all sockets without waiting for queued messages.
    void close();
    const peer_channel_counters& counters() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

}
