#include "usagecounter.h"

#include <algorithm>

namespace ragwortreach {

usage_counter::usage_counter(const wall_time& time)
    : m_time(time)
{
}

void usage_counter::setBounds(const std::optional<usage_bounds>& bounds)
{
    m_bounds = bounds;
    if (!bounds)
        m_windows.clear();
}

/// Window of \a at; null while nothing is counted.
usage_window* usage_counter::windowAt(instant at)
{
    const std::optional<duration> time = m_time.at(at);
    if (!time || !m_bounds)
        return nullptr;
    const std::uint64_t number = static_cast<std::uint64_t>(*time / m_bounds->windowLength);
    usage_window& window = m_windows[number];
    window.number = number;
    return &window;
}

void usage_counter::noteBegun(std::string_view organisation, instant at)
{
    usage_window* const window = windowAt(at);
    if (!window)
        return;
    ++window->counts[std::string(organisation)];
    m_hasUnwritten = true;
}

void usage_counter::noteNotBegun(std::string_view organisation, instant at)
{
    usage_window* const window = windowAt(at);
    const auto count = window ? window->counts.find(organisation) : usage_counts::iterator();
    if (!window || count == window->counts.end())
        return;
    if (--count->second == 0)
        window->counts.erase(count);
    m_hasUnwritten = true;
}

bool usage_counter::isOver(std::uint64_t window, instant now) const
{
    const std::optional<duration> time = m_time.at(now);
    return time && *time >= m_bounds->windowLength * static_cast<duration::rep>(window + 1) + closingDelay;
}

bool usage_counter::hasUnwritten(instant now) const
{
    return m_hasUnwritten || std::any_of(m_windows.begin(), m_windows.end(), [this, now](const std::pair<const std::uint64_t, usage_window>& item) {
        return !item.second.isClosed && isOver(item.first, now);
    });
}

std::vector<usage_window> usage_counter::windowsToWrite(instant now)
{
    const duration time = m_time.at(now).value_or(duration::zero());
    std::erase_if(m_windows, [this, time](const std::pair<const std::uint64_t, usage_window>& item) {
        return time >= m_bounds->windowLength * static_cast<duration::rep>(item.first + 1) + 2 * m_bounds->dueTime;
    });
    std::vector<usage_window> windows;
    for (std::pair<const std::uint64_t, usage_window>& item : m_windows) {
        item.second.isClosed = item.second.isClosed || isOver(item.first, now);
        windows.push_back(item.second);
    }
    m_hasUnwritten = false;
    return windows;
}

}
