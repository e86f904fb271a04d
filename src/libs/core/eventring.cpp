#include "eventring.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

event_ring::event_ring(std::size_t capacity)
    : m_events(std::max<std::size_t>(1, capacity))
{
}

void event_ring::add(timeline_event event)
{
    if (m_events.full())
        ++m_overwritten;
    m_events.push_back(std::move(event));
}

std::vector<timeline_event> event_ring::query(std::string_view subject, hybrid_time since, std::size_t limit) const
{
    std::vector<timeline_event> found;
    for (auto it = m_events.rbegin(); it != m_events.rend(); ++it) {
        if (it->time <= since || found.size() >= limit)
            break;
        if (subject.empty() || it->subject == subject)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

}
