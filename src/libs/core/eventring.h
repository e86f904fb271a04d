#pragma once

#include "timelineevent.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Bounded time line of one process: the newest events replace the oldest.
class event_ring {
public:
    static constexpr std::size_t defaultCapacity = 65536;

    explicit event_ring(std::size_t capacity = defaultCapacity);

    /// Appends \a event. Events are added in the order of their timestamps.
    void add(timeline_event event);

    /// Events about \a subject (about anything when it is empty) that are later than \a since, oldest first.
    ///
    /// Only the newest \a limit of them are returned.
    std::vector<timeline_event> query(std::string_view subject, hybrid_time since = {}, std::size_t limit = defaultCapacity) const;

    std::size_t size() const { return m_events.size(); }

    /// Number of events that newer ones have replaced.
    std::uint64_t overwritten() const { return m_overwritten; }

private:
    boost::circular_buffer<timeline_event> m_events;
    std::uint64_t m_overwritten = 0;
};

}
