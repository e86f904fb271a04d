#pragma once

#include "dutycaller.h"
#include "dutypause.h"
#include "partitionwriter.h"
#include "topicfollower.h"

#include <rollout/sharedlog.h>
#include <rollout/usagecounter.h>
#include <rollout/usageledger.h>
#include <rollout/usageplan.h>
#include <rollout/walltime.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace ragwortreach {

/// Counts since the start of the process.
struct usage_counters {
    /// Windows that this process added up.
    std::uint64_t added = 0;
    /// Of these, windows that a process had not closed, such as one that failed.
    std::uint64_t incomplete = 0;
    /// Reports that the platform accepted from this process.
    std::uint64_t accepted = 0;
    std::uint64_t unreadable = 0;
};

/// Reports to the platform how many requests of each organisation began in each window of time.
///
/// Each process writes what it counted to a topic of the log. The holder of the lease "usage" adds the counts of a window
/// up, writes the report to the same topic, and sends what it read back from there. A process reads the topic from the time
/// on at which it first holds the lease.
class usage_reporter {
public:
    static constexpr std::string_view leaseName = "usage";

    /// \a instance names this process instance.
    usage_reporter(boost::asio::io_context& context, shared_log& log, duty_caller& caller, lease_agent& leases, const std::string& instance, ragwortreach::log& logger);

    /// Without bounds nothing is counted or reported.
    void setBounds(const std::optional<usage_bounds>& bounds);
    bool isEnabled() const { return m_bounds.has_value(); }
    /// To be told of the requests that begin to run.
    usage_meter& meter() { return m_counter; }
    /// Writes, adds up and sends what is due. \a daemons: number of daemons that are alive. To be called periodically.
    void tick(std::size_t daemons);
    /// Whether counts are not in the log yet.
    bool hasPendingCounts() const;
    const usage_counters& counters() const { return m_counters; }

private:
    void sampleTime();
    void writeCounts();
    void updateHolder();
    void report();
    void write(const usage_report& report);
    void send(const usage_report& report);
    void onSent(const usage_report& report, platform::duty_outcome outcome);
    /// Notes here and in the log that the platform accepted the report of \a window.
    void noteAccepted(std::uint64_t window);
    void removeObsolete();
    void apply(std::span<const keyed_record> records);
    keyed_record encode(std::string key, const usage_record& record) const;

    duty_caller& m_caller;
    lease_agent& m_leases;
    std::string m_instance;
    ragwortreach::log& m_logger;
    wall_time m_time;
    usage_counter m_counter;
    usage_ledger m_ledger;
    std::optional<usage_bounds> m_bounds;
    topic_follower m_follower;
    partition_writer m_writer;
    /// Windows whose report this process has written and not read back.
    std::set<std::uint64_t> m_written;
    /// Number of calls that reported a window, so that one without an answer does not delay the others.
    std::map<std::uint64_t, std::uint32_t> m_tries;
    /// Least time between two records of counts of a process.
    duration m_writeInterval {};
    bool m_isHolder = false;
    bool m_isFollowing = false;
    bool m_isWritingCounts = false;
    bool m_isCalling = false;
    bool m_isRemoving = false;
    instant m_countsWrittenAt {};
    instant m_removedAt {};
    /// No report is sent during it, after one that was not accepted.
    duty_pause m_pause;
    usage_counters m_counters;
};

}
