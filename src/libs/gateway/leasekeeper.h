#pragma once

#include "journalwriter.h"
#include "topicfollower.h"

#include <rollout/leaseagent.h>
#include <rollout/leasetable.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

class log;

/// Carries out what the lease agent decides: writes its records and reads those of all daemons.
class lease_keeper {
public:
    lease_keeper(boost::asio::io_context& context, shared_log& log, lease_party self, const lease_options& options, ragwortreach::log& lines,
        std::function<void()> onChanged);

    void start() { m_follower.start(); }
    void setSpacing(duration spacing) { m_follower.setSpacing(spacing); }
    void tick();
    void release(std::function<void()> onDone);

    lease_agent& agent() { return m_agent; }
    const lease_agent& agent() const { return m_agent; }
    std::uint64_t recordsUnreadable() const { return m_unreadable; }

private:
    void noteClaims(const std::vector<lease_record>& records);
    void apply(std::span<const keyed_record> records);
    void write(const std::vector<lease_record>& records, journal_writer::done_handler onDone);

    std::string m_writerName;
    ragwortreach::log& m_lines;
    std::function<void()> m_onChanged;
    lease_table m_table;
    lease_agent m_agent;
    topic_follower m_follower;
    journal_writer m_writer;
    std::uint64_t m_lastRecord = 0;
    std::uint64_t m_unreadable = 0;
};

}
