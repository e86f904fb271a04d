#pragma once

#include <gateway/bootclock.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ragwortreach {

/// Replaces the clock of bootNow() and of all boot_timers while it exists, and advances it without waiting.
class virtual_time : public clock_source {
public:
    /// Events and timers of \a context run while time advances.
    explicit virtual_time(boost::asio::io_context& context);
    virtual_time(const virtual_time&) = delete;
    virtual_time& operator=(const virtual_time&) = delete;
    ~virtual_time() override;

    instant now() const override { return m_now; }

    /// Calls \a action once at \a time.
    void callAt(instant time, std::function<void()> action);
    void callAfter(duration time, std::function<void()> action) { callAt(m_now + time, std::move(action)); }
    /// Runs what is due within \a time.
    void advance(duration time);

private:
    struct event {
        instant time;
        std::uint64_t number = 0;
        std::function<void()> action;
    };

    struct is_later {
        bool operator()(const event& left, const event& right) const { return left.time != right.time ? left.time > right.time : left.number > right.number; }
    };

    void runEventsUntil(instant end);
    /// Runs all timers of the context that are due.
    void runTimers();

    boost::asio::io_context& m_context;
    instant m_now;
    /// Makes the context look at its timers: once it has run, so have all others that were due.
    boot_timer m_stepTimer;
    std::uint64_t m_lastEvent = 0;
    std::priority_queue<event, std::vector<event>, is_later> m_events;
};

}
