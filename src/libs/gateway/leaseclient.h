#pragma once

#include "partitionwriter.h"
#include "topicfollower.h"

#include <rollout/leaseagent.h>
#include <rollout/leaserecords.h>
#include <rollout/leasetable.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

class log;

/// Connects the lease agent with the lease topic of the log: writes the records that the agent decides on and applies
/// those of all daemons. The holder of the first lease also removes obsolete records.
class lease_client {
public:
    lease_client(boost::asio::io_context& context, shared_log& log, lease_party self, const lease_options& options, ragwortreach::log& logger,
        std::function<void()> onChanged);

    void start() { m_follower.start(); }
    void setPollInterval(duration pollInterval) { m_follower.setPollInterval(pollInterval); }
    /// Writes the records that are due. To be called periodically.
    void tick();
    /// Releases all leases; \a onDone is called when the write has ended, with or without success.
    void release(std::function<void()> onDone);

    lease_agent& agent() { return m_agent; }
    const lease_agent& agent() const { return m_agent; }
    std::uint64_t recordsUnreadable() const { return m_unreadable; }
    const topic_follower& follower() const { return m_follower; }

private:
    void logClaims(const std::vector<lease_record>& records);
    void applySnapshot(std::span<const keyed_record> all, std::span<const keyed_record> newRecords);
    void apply(std::span<const keyed_record> records);
    std::vector<keyed_record> encode(const std::vector<lease_record>& records);
    void addRemovals(std::vector<keyed_record>& records, instant now) const;

    std::string m_writerName;
    ragwortreach::log& m_logger;
    std::function<void()> m_onChanged;
    lease_table m_table;
    lease_records m_records;
    lease_agent m_agent;
    topic_follower m_follower;
    partition_writer m_writer;
    std::uint64_t m_lastRecord = 0;
    std::uint64_t m_unreadable = 0;
};

}
