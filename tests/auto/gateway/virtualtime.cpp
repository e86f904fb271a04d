#include "virtualtime.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// An arbitrary time after the epoch, which stands for "never".
    constexpr duration startTime = std::chrono::hours(1);
    /// Timers run at multiples of this.
    constexpr duration timerStep = std::chrono::milliseconds(1);

}

virtual_time::virtual_time(boost::asio::io_context& context)
    : m_context(context)
    , m_now(startTime)
    , m_stepTimer(context)
{
    setClockSource(this);
}

virtual_time::~virtual_time()
{
    setClockSource(nullptr);
}

void virtual_time::callAt(instant time, std::function<void()> action)
{
    m_events.push({ time, ++m_lastEvent, std::move(action) });
}

void virtual_time::advance(duration time)
{
    const instant end = m_now + time;
    while (m_now < end) {
        runEventsUntil(std::min(end, m_now + timerStep));
        runTimers();
    }
}

void virtual_time::runEventsUntil(instant end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        m_now = std::max(m_now, m_events.top().time);
        const std::function<void()> action = m_events.top().action;
        m_events.pop();
        action();
    }
    m_now = end;
}

void virtual_time::runTimers()
{
    bool hasRun = false;
    m_stepTimer.expires_at(instant());
    m_stepTimer.async_wait([&hasRun](const boost::system::error_code&) { hasRun = true; });
    m_context.restart();
    while (!hasRun)
        m_context.poll();
}

}
