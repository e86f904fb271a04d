#pragma once

#include "bytebudget.h"

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace ragwortreach {

/// Why a connection is relieved of what it holds.
enum class relief_reason {
    /// The unfinished requests of all connections hold too many bytes.
    UnfinishedBytes,
    /// Complete answers that callers have not read hold too many bytes.
    UnreadAnswers,
    /// The bodies of requests leave no room for another one, and the connection does not complete its own.
    UnfinishedBody,
    /// Too many connections are open.
    Connections,
    /// The process has no file descriptor left to accept a connection.
    Descriptors
};

/// Connections that were closed, and input that was discarded, since the start of the process.
struct connection_counters {
    /// Closed since the unfinished requests of all connections held too many bytes.
    std::uint64_t closedForBytes = 0;
    /// Connections with an open exchange whose pipelined requests were discarded for the same reason.
    std::uint64_t pipelinesDiscarded = 0;
    /// Closed since complete answers that callers had not read held too many bytes.
    std::uint64_t closedForUnread = 0;
    /// Closed since their unfinished bodies took the room of others.
    std::uint64_t closedForBodies = 0;
    /// Closed since too many connections were open.
    std::uint64_t closedForCount = 0;
    /// Times that accepting a connection failed, mostly for want of file descriptors.
    std::uint64_t acceptsFailed = 0;
    /// Requests that were refused since their head is larger than the limit.
    std::uint64_t headersTooLarge = 0;
    /// Requests that were refused since they cannot be parsed.
    std::uint64_t malformed = 0;
};

/// Bounds what the callers of a process make it hold: unfinished requests, bodies, unread answers and connections.
///
/// One object serves all servers of a process. It decides only; each connection has a handler that carries a decision
/// out. An unfinished request is what has been read of a request that is not complete, without its body, and pipelined
/// requests that wait for the end of the exchange before them.
class connection_guard {
public:
    using port_number = std::uint32_t;
    using connection_number = std::uint64_t;
    /// Closes the connection, or discards its pipelined requests while an exchange is open on it. It may remove
    /// its own connection.
    using relief_handler = std::function<void()>;

    static constexpr std::size_t defaultUnfinishedBytes = std::size_t { 8 } * 1024 * 1024;
    /// Bound of the bytes of unread answers, as a multiple of that of unfinished requests. Answers take room that
    /// callers are entitled to, and a single one may be larger than the bound.
    static constexpr std::size_t unreadFactor = 2;
    /// Descriptors for replicas, the log, other daemons and files.
    static constexpr std::size_t reservedDescriptors = 200;
    static constexpr std::size_t minConnections = 16;
    /// Time without a byte after which an unfinished body makes room for a large one. Longer than the time after which TCP
    /// sends a lost segment again.
    static constexpr duration maxBodyPause = std::chrono::milliseconds(500);
    /// So many connections of each port are not closed for the number of all, so that a crowd at one port does not close
    /// those of another, such as the readiness check.
    static constexpr std::size_t connectionsKeptPerPort = 8;

    /// Bytes of unfinished requests that a process with \a memoryBytes of memory may hold.
    static std::size_t unfinishedBytesFor(std::size_t memoryBytes);
    /// Bytes of bodies and waiting answers that a process with \a memoryBytes of memory may hold.
    static std::size_t bodyBytesFor(std::size_t memoryBytes);
    /// Connections of callers that a process with \a descriptors file descriptors may have.
    static std::size_t connectionsFor(std::size_t descriptors);

    void setUnfinishedBytes(std::size_t bytes) { m_maxUnfinishedBytes = bytes; }
    void setBodyBytes(std::size_t bytes) { m_bodies.setLimit(bytes); }
    /// Sets the largest body that the servers of a port accept.
    void setLargestBody(port_number port, std::size_t bytes);
    /// Room for the bodies of requests and for answers that wait for their callers.
    byte_budget& bodies() { return m_bodies; }
    /// Descriptors that the settings allow.
    void setDescriptors(std::size_t descriptors) { m_allowedDescriptors = descriptors; }
    /// Descriptors that the process may open, according to its own limit.
    void setProcessDescriptors(std::size_t descriptors) { m_processDescriptors = descriptors; }
    std::size_t maxConnections() const;

    /// Registers a port; \return its number.
    port_number addPort() { return ++m_lastPort; }
    /// Registers a connection that waits for its first request.
    connection_number add(port_number port, relief_handler onRelief);
    /// Ignores a connection that is not registered.
    void remove(connection_number connection);
    /// The connection has a complete request from now on, and is not closed while it is answered.
    void setServed(connection_number connection);
    /// The connection waits for its caller from now on: for a request, or for the caller to read a complete answer.
    void setWaiting(connection_number connection);
    void setUnfinished(connection_number connection, std::size_t bytes);
    /// Bytes of a complete answer that wait for the caller. Ignored while the connection is served.
    void setUnread(connection_number connection, std::size_t bytes);

    /// Notes that a part of an unfinished body arrived at \a now.
    void noteBodyPart(connection_number connection, instant now);
    /// The connection has no unfinished body any more.
    void endBody(connection_number connection);
    /// Closes the connection whose unfinished body has waited longest for its next part, at least for \a pause, other than
    /// \a connection; false when there is none.
    bool closePausedBody(connection_number connection, duration pause, instant now);

    bool isExceeded() const;
    /// Relieves connections until the bounds hold, as far as connections may be relieved.
    void enforce();
    /// Closes the connection that has waited longest, since no descriptor is left to accept another one.
    void relieveDescriptors();
    void noteHeaderTooLarge() { ++m_counters.headersTooLarge; }
    void noteMalformed() { ++m_counters.malformed; }

    std::size_t connections() const { return m_entries.size(); }
    std::size_t unfinishedBytes() const { return m_unfinishedBytes; }
    const connection_counters& counters() const { return m_counters; }

private:
    struct entry {
        port_number port = 0;
        relief_handler onRelief;
        std::size_t unfinished = 0;
        std::size_t unread = 0;
        /// Orders the connections by the time since which they wait; empty while the connection is served.
        std::optional<std::uint64_t> waitingSince;
        /// Number of the last part of an unfinished body; empty without one.
        std::optional<std::uint64_t> lastPart;
    };

    struct body_part {
        connection_number connection = 0;
        instant arrivedAt;
    };

    struct by_size {
        std::size_t unfinished;
        connection_number connection;
        /// Most bytes first, and the oldest first among equals.
        bool operator<(const by_size& other) const
        {
            return unfinished != other.unfinished ? unfinished > other.unfinished : connection < other.connection;
        }
    };

    bool isUnreadExceeded() const { return m_unreadBytes > m_maxUnfinishedBytes * unreadFactor && m_unread.size() > 1; }
    std::optional<connection_number> longestWaiting() const;
    std::uint64_t& counterOf(relief_reason reason);
    void relieve(connection_number connection, relief_reason reason);

    std::size_t m_maxUnfinishedBytes = defaultUnfinishedBytes;
    std::size_t m_allowedDescriptors = std::numeric_limits<std::size_t>::max();
    std::size_t m_processDescriptors = std::numeric_limits<std::size_t>::max();
    std::map<connection_number, entry> m_entries;
    std::set<by_size> m_bySize;
    /// Connections that may be closed, by the order in which they began to wait.
    std::map<std::uint64_t, connection_number> m_waiting;
    /// Those of them with an unread answer.
    std::map<std::uint64_t, connection_number> m_unread;
    std::map<port_number, std::size_t> m_connectionsOfPort;
    byte_budget m_bodies;
    std::map<port_number, std::size_t> m_largestBodies;
    /// The last part of each unfinished body, by number.
    std::map<std::uint64_t, body_part> m_bodyParts;
    std::uint64_t m_lastPart = 0;
    std::size_t m_unfinishedBytes = 0;
    std::size_t m_unreadBytes = 0;
    std::uint64_t m_lastWait = 0;
    connection_number m_lastConnection = 0;
    port_number m_lastPort = 0;
    connection_counters m_counters;
};

}
