#pragma once

#include <rollout/sharedlog.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string>

namespace ragwortreach {

/// Keeps this daemon in the group that shares out the partitions of work.
class group_member {
public:
    struct options {
        std::string group;
        std::string member;
        std::string topic;
        duration timeToLive = std::chrono::milliseconds(2000);
        duration interval = std::chrono::milliseconds(500);
    };

    group_member(boost::asio::io_context& context, shared_log& log, options options, std::function<void()> onChanged);

    void start();
    void leave(std::function<void()> onDone);

    const std::set<std::uint32_t>& partitions() const { return m_partitions; }
    /// Grows with each change of the group.
    std::uint64_t generation() const { return m_generation; }
    /// Until then no other member gets the partitions, unless they are dealt out anew.
    instant validUntil() const { return m_validUntil; }

private:
    void join();
    void take(const membership_outcome& outcome, instant sentAt);
    membership_request request() const;

    shared_log& m_log;
    options m_options;
    std::function<void()> m_onChanged;
    boost::asio::steady_timer m_timer;
    std::set<std::uint32_t> m_partitions;
    std::uint64_t m_generation = 0;
    instant m_validUntil {};
    bool m_isLeaving = false;
};

}
