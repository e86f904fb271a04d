#include "broadcastqueue.h"

#include <algorithm>
#include <utility>

namespace ragwortreach::Internal {

namespace {

    /// Transmissions of a delta on probes, after those in pushes.
    constexpr std::size_t piggybackTransmissions = 4;
    constexpr std::size_t valuesTransmissions = 6;
    /// Maximum encoded size of the values in one probe, in bytes.
    constexpr std::size_t maxValuesSize = 900;

    std::size_t freeBytes(const gossip_message& message)
    {
        const std::size_t used = encodedSizeBound(message);
        return used < maxGossipMessageSize ? maxGossipMessageSize - used : 0;
    }

}

broadcast_queue::broadcast_queue(std::size_t pushTransmissions)
    : m_pushTransmissions(pushTransmissions)
{
}

void broadcast_queue::addDelta(member_entry& entry)
{
    static_cast<queue_hook<delta_queue_tag>&>(entry).unlink();
    entry.deltaTransmissions = m_pushTransmissions + piggybackTransmissions;
    m_pushed.push_front(entry);
}

void broadcast_queue::addValues(member_entry& entry)
{
    static_cast<queue_hook<values_queue_tag>&>(entry).unlink();
    entry.valuesTransmissions = valuesTransmissions;
    m_values.push_front(entry);
}

bool broadcast_queue::hasPush() const
{
    return !m_pushed.empty();
}

std::size_t broadcast_queue::takeDeltas(delta_list& deltas, gossip_message& message, std::size_t room)
{
    delta_list pushed;
    delta_list piggybacked;
    while (!deltas.empty()) {
        member_entry& entry = deltas.front();
        member_delta delta = toDelta(entry, entry.isDetailed);
        const std::size_t size = encodedSizeBound(delta);
        if (size > room)
            break;
        room -= size;
        message.deltas.push_back(std::move(delta));
        deltas.pop_front();
        --entry.deltaTransmissions;
        if (entry.deltaTransmissions > piggybackTransmissions)
            pushed.push_back(entry);
        else if (entry.deltaTransmissions > 0)
            piggybacked.push_back(entry);
        else
            entry.isDetailed = false;
    }
    m_pushed.splice(m_pushed.end(), pushed);
    m_piggybacked.splice(m_piggybacked.end(), piggybacked);
    return room;
}

void broadcast_queue::fillPush(gossip_message& message)
{
    takeDeltas(m_pushed, message, freeBytes(message));
}

void broadcast_queue::fillProbe(gossip_message& message, bool carriesValues)
{
    std::size_t room = takeDeltas(m_piggybacked, message, freeBytes(message));
    if (!carriesValues)
        return;
    room = std::min(room, maxValuesSize);
    values_list taken;
    while (!m_values.empty()) {
        member_entry& entry = m_values.front();
        values_delta delta { entry.view.vm, entry.view.instance, entry.view.values };
        const std::size_t size = encodedSizeBound(delta);
        if (size > room)
            break;
        room -= size;
        message.values.push_back(std::move(delta));
        m_values.pop_front();
        if (--entry.valuesTransmissions > 0)
            taken.push_back(entry);
    }
    m_values.splice(m_values.end(), taken);
}

}
