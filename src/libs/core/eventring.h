#pragma once

#include "timelineevent.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Ring buffer of the time line of one process: when it is full, the newest event overwrites the oldest.
class event_ring {
public:
    static constexpr std::size_t defaultCapacity = 65536;

    explicit event_ring(std::size_t capacity = defaultCapacity);

    /// Appends \a event. Events must be added in the order of their timestamps.
    void add(timeline_event event);

    /// The newest \a limit events about \a subject that are later than \a since, oldest first. An empty \a subject
    /// matches all events.
    std::vector<timeline_event> query(std::string_view subject, hybrid_time since = {}, std::size_t limit = defaultCapacity) const;

    std::size_t size() const { return m_events.size(); }

    /// Number of events that were overwritten by newer ones.
    std::uint64_t overwritten() const { return m_overwritten; }

private:
    boost::circular_buffer<timeline_event> m_events;
    std::uint64_t m_overwritten = 0;
};

}
