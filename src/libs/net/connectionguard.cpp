#include "connectionguard.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr std::size_t memoryDivisor = 16;
    constexpr std::size_t minUnfinishedBytes = std::size_t { 2 } * 1024 * 1024;
    constexpr std::size_t maxUnfinishedBytes = std::size_t { 32 } * 1024 * 1024;
    constexpr std::size_t bodyMemoryDivisor = 4;
    /// Room beside a largest body, so that small ones are no reason to refuse it.
    constexpr std::size_t smallBodyRoom = std::size_t { 1024 } * 1024;
    constexpr std::size_t minBodyBytes = std::size_t { 8 } * 1024 * 1024;

}

std::size_t connection_guard::unfinishedBytesFor(std::size_t memoryBytes)
{
    return std::clamp(memoryBytes / memoryDivisor, minUnfinishedBytes, maxUnfinishedBytes);
}

std::size_t connection_guard::bodyBytesFor(std::size_t memoryBytes)
{
    return std::clamp(memoryBytes / bodyMemoryDivisor, minBodyBytes, byte_budget::defaultLimit);
}

std::size_t connection_guard::connectionsFor(std::size_t descriptors)
{
    const std::size_t unreserved = descriptors - std::min(descriptors, reservedDescriptors);
    return std::max(unreserved / 2, minConnections);
}

std::size_t connection_guard::maxConnections() const
{
    return connectionsFor(std::min(m_allowedDescriptors, m_processDescriptors));
}

void connection_guard::setLargestBody(port_number port, std::size_t bytes)
{
    m_largestBodies[port] = bytes;
    std::size_t largest = 0;
    for (const std::pair<const port_number, std::size_t>& item : m_largestBodies)
        largest = std::max(largest, item.second);
    m_bodies.setLargestBody(largest + smallBodyRoom);
}

connection_guard::connection_number connection_guard::add(port_number port, relief_handler onRelief)
{
    const connection_number connection = ++m_lastConnection;
    m_entries[connection] = { port, std::move(onRelief), 0, 0, std::nullopt, std::nullopt };
    ++m_connectionsOfPort[port];
    setWaiting(connection);
    return connection;
}

void connection_guard::remove(connection_number connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    setUnfinished(connection, 0);
    setServed(connection);
    endBody(connection);
    --m_connectionsOfPort[it->second.port];
    m_entries.erase(it);
}

void connection_guard::setServed(connection_number connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || !it->second.waitingSince)
        return;
    setUnread(connection, 0);
    m_waiting.erase(*it->second.waitingSince);
    it->second.waitingSince.reset();
}

void connection_guard::setWaiting(connection_number connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || it->second.waitingSince)
        return;
    it->second.waitingSince = ++m_lastWait;
    m_waiting.emplace(m_lastWait, connection);
}

void connection_guard::setUnfinished(connection_number connection, std::size_t bytes)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || it->second.unfinished == bytes)
        return;
    std::size_t& unfinished = it->second.unfinished;
    if (unfinished > 0)
        m_bySize.erase({ unfinished, connection });
    m_unfinishedBytes = m_unfinishedBytes - unfinished + bytes;
    unfinished = bytes;
    if (bytes > 0)
        m_bySize.insert({ bytes, connection });
}

void connection_guard::setUnread(connection_number connection, std::size_t bytes)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || !it->second.waitingSince)
        return;
    m_unreadBytes = m_unreadBytes - it->second.unread + bytes;
    it->second.unread = bytes;
    if (bytes > 0)
        m_unread.emplace(*it->second.waitingSince, connection);
    else
        m_unread.erase(*it->second.waitingSince);
}

void connection_guard::noteBodyPart(connection_number connection, instant now)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end())
        return;
    endBody(connection);
    it->second.lastPart = ++m_lastPart;
    m_bodyParts.emplace(m_lastPart, body_part { connection, now });
}

void connection_guard::endBody(connection_number connection)
{
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || !it->second.lastPart)
        return;
    m_bodyParts.erase(*it->second.lastPart);
    it->second.lastPart.reset();
}

bool connection_guard::closePausedBody(connection_number connection, duration pause, instant now)
{
    const auto longest = std::find_if(m_bodyParts.begin(), m_bodyParts.end(), [connection](const auto& part) { return part.second.connection != connection; });
    if (longest == m_bodyParts.end() || now - longest->second.arrivedAt < pause)
        return false;
    relieve(longest->second.connection, relief_reason::UnfinishedBody);
    return true;
}

bool connection_guard::isExceeded() const
{
    return m_unfinishedBytes > m_maxUnfinishedBytes || isUnreadExceeded() || m_entries.size() > maxConnections();
}

void connection_guard::enforce()
{
    while (m_unfinishedBytes > m_maxUnfinishedBytes)
        relieve(m_bySize.begin()->connection, relief_reason::UnfinishedBytes);
    while (isUnreadExceeded())
        relieve(m_unread.begin()->second, relief_reason::UnreadAnswers);
    while (m_entries.size() > maxConnections()) {
        const std::optional<connection_number> connection = longestWaiting();
        if (!connection)
            return;
        relieve(*connection, relief_reason::Connections);
    }
}

void connection_guard::relieveDescriptors()
{
    ++m_counters.acceptsFailed;
    const std::optional<connection_number> connection = longestWaiting();
    if (connection)
        relieve(*connection, relief_reason::Descriptors);
}

std::optional<connection_guard::connection_number> connection_guard::longestWaiting() const
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [this](const auto& waiting) {
        return m_connectionsOfPort.at(m_entries.at(waiting.second).port) > connectionsKeptPerPort;
    });
    if (it == m_waiting.end())
        return std::nullopt;
    return it->second;
}

std::uint64_t& connection_guard::counterOf(relief_reason reason)
{
    switch (reason) {
    case relief_reason::UnfinishedBytes:
        return m_counters.closedForBytes;
    case relief_reason::UnreadAnswers:
        return m_counters.closedForUnread;
    case relief_reason::UnfinishedBody:
        return m_counters.closedForBodies;
    case relief_reason::Connections:
    case relief_reason::Descriptors:
        break;
    }
    return m_counters.closedForCount;
}

void connection_guard::relieve(connection_number connection, relief_reason reason)
{
    const entry& relieved = m_entries.at(connection);
    const relief_handler onRelief = relieved.onRelief;
    if (relieved.waitingSince) {
        remove(connection);
        ++counterOf(reason);
    } else {
        setUnfinished(connection, 0);
        ++m_counters.pipelinesDiscarded;
    }
    onRelief();
}

}
