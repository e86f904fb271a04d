#include "peerchannel.h"

#include "peercodec.h"
#include "zeromqsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <exception>
#include <map>
#include <utility>

namespace ragwortreach {

using namespace Internal;
using steady_clock = std::chrono::steady_clock;

namespace {

    constexpr int highWaterMark = 1000;
    constexpr int heartbeatMilliseconds = 1000;
    constexpr int heartbeatTimeoutMilliseconds = 3000;
    constexpr int reconnectMilliseconds = 100;
    constexpr int maxReconnectMilliseconds = 2000;
    constexpr int handshakeTimeoutMilliseconds = 2000;
    /// Period of the search for expired requests and idle peers.
    constexpr duration sweepPeriod = std::chrono::milliseconds(50);
    /// Time since all received requests had last been read, after which this process counts as paused.
    constexpr duration pauseThreshold = 4 * sweepPeriod;
    /// Time after a pause during which requests that were sent in the pause may still arrive.
    constexpr duration pauseRecoveryTime = std::chrono::milliseconds(500);
    /// Time without a request after which the connection to a peer is closed.
    constexpr duration peerIdleTime = std::chrono::minutes(2);
    constexpr std::size_t maxPendingRequests = 10000;
    /// Messages handled before other work of the io_context gets its turn.
    constexpr std::size_t maxMessagesPerTurn = 64;

    zmq::message_t toMessage(std::string_view bytes)
    {
        return zmq::message_t(bytes.data(), bytes.size());
    }

    void setOptions(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, highWaterMark);
        socket.set(zmq::sockopt::rcvhwm, highWaterMark);
        socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxPeerMessageSize));
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMilliseconds);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMilliseconds);
        socket.set(zmq::sockopt::heartbeat_ttl, heartbeatTimeoutMilliseconds);
        socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMilliseconds);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMilliseconds);
        // Without a connection ZeroMQ refuses a message instead of queueing it.
        socket.set(zmq::sockopt::immediate, true);
    }

    duration elapsedSince(steady_clock::time_point start)
    {
        return std::chrono::duration_cast<duration>(steady_clock::now() - start);
    }

}

class peer_channel::state : public std::enable_shared_from_this<peer_channel::state> {
    friend class peer_channel;

public:
    state(boost::asio::io_context& context, const std::string& bindAddress);

    void start();
    void request(const std::string& address, peer_request request, duration timeout, reply_handler handler);
    void close();
    std::string address() const;

private:
    struct pending_request {
        std::string address;
        peer_request request;
        reply_handler handler;
        steady_clock::time_point deadline;
        bool isSent = false;
    };

    struct peer {
        std::shared_ptr<zeromq_socket> socket;
        /// Correlation numbers of the requests that wait for a connection.
        std::deque<std::uint64_t> waiting;
        steady_clock::time_point lastUse;
    };

    peer& findPeer(const std::string& address);
    void flush(peer& target);
    bool sendRequest(peer& target, std::uint64_t correlation, pending_request& pending);
    void readReplies(const std::string& address);
    void onReply(std::string_view bytes);
    void readRequests();
    void onRequest(std::vector<zmq::message_t> parts);
    void reply(const std::string& identity, std::uint64_t correlation, peer_reply reply);
    void sweep();
    void expireRequests();
    void closeIdlePeers();
    void finish(std::uint64_t correlation, std::error_code error, peer_reply reply);
    std::uint64_t hybridTime() const { return m_clock.read ? m_clock.read() : 0; }
    void observe(std::uint64_t time) const;

    request_handler m_handler;
    message_clock m_clock;
    peer_channel_counters m_counters;
    boost::asio::io_context& m_context;
    zmq::context_t m_library;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<zeromq_socket> m_router;
    std::map<std::string, peer> m_peers;
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_lastCorrelation = 0;
    /// Last time at which all received requests had been read.
    steady_clock::time_point m_lastEmpty = steady_clock::now();
    /// Until this time requests are assumed to have waited for m_pauseLength before they were read.
    steady_clock::time_point m_pauseEffectUntil;
    duration m_pauseLength {};
    bool m_isClosed = false;
};

peer_channel::state::state(boost::asio::io_context& context, const std::string& bindAddress)
    : m_context(context)
    , m_library(1)
    , m_timer(context)
{
    m_router = std::make_shared<zeromq_socket>(context, m_library, zmq::socket_type::router, [this] { readRequests(); });
    setOptions(m_router->socket());
    m_router->socket().set(zmq::sockopt::router_mandatory, true);
    try {
        m_router->socket().bind("tcp://" + bindAddress);
    } catch (const zmq::error_t&) {
        throw std::system_error(make_error_code(result_code::AddressInUse), bindAddress);
    }
}

void peer_channel::state::start()
{
    m_router->start();
    sweep();
}

std::string peer_channel::state::address() const
{
    constexpr std::size_t schemeLength = 6;
    return m_router->socket().get(zmq::sockopt::last_endpoint).substr(schemeLength);
}

void peer_channel::state::request(const std::string& address, peer_request request, duration timeout, reply_handler handler)
{
    if (m_isClosed || m_pending.size() >= maxPendingRequests) {
        boost::asio::post(m_context, [handler = std::move(handler)] { handler(result_code::PeerUnreachable, error_reply { result_code::PeerUnreachable, {} }); });
        return;
    }
    const std::uint64_t correlation = ++m_lastCorrelation;
    const duration bounded = std::clamp(timeout, duration::zero(), maxPeerTimeout);
    m_pending.emplace(correlation, pending_request { address, std::move(request), std::move(handler), steady_clock::now() + bounded, false });
    peer& target = findPeer(address);
    target.lastUse = steady_clock::now();
    target.waiting.push_back(correlation);
    flush(target);
}

peer_channel::state::peer& peer_channel::state::findPeer(const std::string& address)
{
    const auto known = m_peers.find(address);
    if (known != m_peers.end())
        return known->second;
    peer& added = m_peers[address];
    added.socket = std::make_shared<zeromq_socket>(m_context, m_library, zmq::socket_type::dealer, [this, address] { readReplies(address); });
    setOptions(added.socket->socket());
    try {
        added.socket->socket().connect("tcp://" + address);
    } catch (const zmq::error_t&) {
        // A malformed address never connects; its requests end with PeerUnreachable.
    }
    added.socket->start();
    return added;
}

void peer_channel::state::flush(peer& target)
{
    while (!target.waiting.empty()) {
        const auto it = m_pending.find(target.waiting.front());
        const bool isExpired = it == m_pending.end() || it->second.deadline <= steady_clock::now();
        if (!isExpired && !sendRequest(target, it->first, it->second))
            return;
        target.waiting.pop_front();
    }
}

bool peer_channel::state::sendRequest(peer& target, std::uint64_t correlation, pending_request& pending)
{
    const duration remaining = -elapsedSince(pending.deadline);
    const std::string bytes = encodePeerRequest({ hybridTime(), correlation, remaining, pending.request });
    std::vector<zmq::message_t> parts;
    parts.push_back(toMessage(bytes));
    if (!target.socket->send(std::move(parts)))
        return false;
    pending.isSent = true;
    ++m_counters.requestsSent;
    m_counters.sentBytes += bytes.size();
    return true;
}

void peer_channel::state::readReplies(const std::string& address)
{
    const auto it = m_peers.find(address);
    if (it == m_peers.end())
        return;
    const std::shared_ptr<zeromq_socket> socket = it->second.socket;
    flush(it->second);
    for (std::size_t count = 0; count < maxMessagesPerTurn && socket->isReadable(); ++count) {
        const std::vector<zmq::message_t> parts = socket->receive();
        if (parts.size() == 1)
            onReply(parts.front().to_string_view());
    }
}

void peer_channel::state::onReply(std::string_view bytes)
{
    m_counters.receivedBytes += bytes.size();
    peer_reply_frame frame;
    const std::error_code error = decodePeerReply(bytes, frame);
    if (error) {
        ++m_counters.malformed;
        finish(frame.correlation, error, error_reply { result_code::MalformedMessage, {} });
        return;
    }
    ++m_counters.repliesReceived;
    observe(frame.hybridTime);
    finish(frame.correlation, {}, std::move(frame.reply));
}

void peer_channel::state::finish(std::uint64_t correlation, std::error_code error, peer_reply reply)
{
    const auto it = m_pending.find(correlation);
    if (it == m_pending.end())
        return;
    const reply_handler handler = std::move(it->second.handler);
    m_pending.erase(it);
    handler(error, std::move(reply));
}

void peer_channel::state::readRequests()
{
    const duration unread = elapsedSince(m_lastEmpty);
    if (unread > pauseThreshold) {
        m_pauseLength = unread;
        m_pauseEffectUntil = steady_clock::now() + pauseRecoveryTime;
    }
    for (std::size_t count = 0; count < maxMessagesPerTurn && m_router->isReadable(); ++count)
        onRequest(m_router->receive());
    if (!m_router->isReadable())
        m_lastEmpty = steady_clock::now();
}

void peer_channel::state::onRequest(std::vector<zmq::message_t> parts)
{
    constexpr std::size_t partCount = 2;
    peer_request_frame frame;
    if (parts.size() != partCount || decodePeerRequest(parts.back().to_string_view(), frame)) {
        ++m_counters.malformed;
        return;
    }
    ++m_counters.requestsReceived;
    m_counters.receivedBytes += parts.back().size();
    observe(frame.hybridTime);
    const std::string identity = parts.front().to_string();
    const bool isAfterPause = steady_clock::now() < m_pauseEffectUntil;
    if (frame.remaining <= (isAfterPause ? m_pauseLength : duration::zero())) {
        ++m_counters.requestsExpired;
        reply(identity, frame.correlation, error_reply { result_code::PeerUnreachable, "the request arrived after its deadline and was not run" });
        return;
    }
    if (!m_handler) {
        reply(identity, frame.correlation, error_reply { result_code::PeerUnreachable, "the daemon does not accept requests" });
        return;
    }
    m_handler(std::move(frame.request), [weak = weak_from_this(), identity, correlation = frame.correlation](peer_reply answer) {
        if (const std::shared_ptr<state> self = weak.lock())
            self->reply(identity, correlation, std::move(answer));
    });
}

void peer_channel::state::reply(const std::string& identity, std::uint64_t correlation, peer_reply reply)
{
    if (m_isClosed)
        return;
    const std::string bytes = encodePeerReply({ hybridTime(), correlation, std::move(reply) });
    std::vector<zmq::message_t> parts;
    parts.push_back(toMessage(identity));
    parts.push_back(toMessage(bytes));
    try {
        if (m_router->send(std::move(parts))) {
            m_counters.sentBytes += bytes.size();
            return;
        }
    } catch (const zmq::error_t&) {
        // The caller has disconnected; its request ends with its time-out.
    }
    ++m_counters.repliesDropped;
}

void peer_channel::state::observe(std::uint64_t time) const
{
    if (m_clock.observe)
        m_clock.observe(time);
}

void peer_channel::state::sweep()
{
    if (m_isClosed)
        return;
    readRequests();
    if (m_isClosed)
        return;
    for (std::pair<const std::string, peer>& item : m_peers)
        flush(item.second);
    closeIdlePeers();
    expireRequests();
    if (m_isClosed)
        return;
    m_timer.expires_after(sweepPeriod);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<state> self = weak.lock();
        if (self && !error)
            self->sweep();
    });
}

void peer_channel::state::expireRequests()
{
    const steady_clock::time_point now = steady_clock::now();
    std::vector<std::uint64_t> expired;
    for (const std::pair<const std::uint64_t, pending_request>& item : m_pending) {
        if (item.second.deadline <= now)
            expired.push_back(item.first);
    }
    for (const std::uint64_t correlation : expired) {
        const auto it = m_pending.find(correlation);
        if (it == m_pending.end())
            continue;
        ++m_counters.timeouts;
        const result_code code = it->second.isSent ? result_code::PeerTimeout : result_code::PeerUnreachable;
        finish(correlation, code, error_reply { code, {} });
    }
}

void peer_channel::state::closeIdlePeers()
{
    std::erase_if(m_peers, [](const std::pair<const std::string, peer>& item) {
        return item.second.waiting.empty() && elapsedSince(item.second.lastUse) > peerIdleTime;
    });
}

void peer_channel::state::close()
{
    m_isClosed = true;
    m_handler = nullptr;
    m_pending.clear();
    m_timer.cancel();
    for (std::pair<const std::string, peer>& item : m_peers)
        item.second.socket->close();
    m_router->close();
}

peer_channel::peer_channel(boost::asio::io_context& context, const std::string& bindAddress)
    : m_state(std::make_shared<state>(context, bindAddress))
{
    m_state->start();
}

peer_channel::~peer_channel()
{
    try {
        close();
    } catch (const std::exception&) {
        // Nothing is left to release: the sockets are closed by their own destructors.
    }
}

std::string peer_channel::address() const
{
    return m_state->address();
}

void peer_channel::request(const std::string& address, peer_request request, duration timeout, reply_handler handler)
{
    m_state->request(address, std::move(request), timeout, std::move(handler));
}

void peer_channel::setHandler(request_handler handler)
{
    m_state->m_handler = std::move(handler);
}

void peer_channel::setClock(message_clock clock)
{
    m_state->m_clock = std::move(clock);
}

void peer_channel::close()
{
    m_state->close();
}

const peer_channel_counters& peer_channel::counters() const
{
    return m_state->m_counters;
}

}
