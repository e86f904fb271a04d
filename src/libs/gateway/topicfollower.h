#pragma once

#include "newestpages.h"

#include <rollout/sharedlog.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <span>

namespace ragwortreach {

struct topic_follower_options {
    topic_partition topicPartition;
    /// Time that a read waits at the log for a record.
    duration wait = std::chrono::milliseconds(1000);
    /// Least time between two reads, so that bursts of records come in few answers.
    duration pollInterval = std::chrono::milliseconds(20);
    /// How often the time for an answer doubles while reads fail. Answers that are large may be slow without being lost;
    /// for all others a longer time only delays the next try after an outage.
    std::uint32_t maxTimeoutDoublings = 0;
};

/// Follows a partition of a topic that keeps the newest record of each key.
///
/// Load pattern: after an outage, or once the log has dropped its history, all daemons of a fleet read again at once,
/// and the log gives out only so much. So a follower goes on after the pages that it has and spreads its tries.
///
/// It begins with the pages of newest records, goes on with the records after them in order, and begins again when
/// the log has dropped records that were not read.
class topic_follower {
public:
    struct handlers {
        /// All keys that there are, by offset. Records that were delivered before are left out of \a fresh.
        std::function<void(std::span<const keyed_record> all, std::span<const keyed_record> newRecords)> onSnapshot;
        std::function<void(std::span<const keyed_record>)> onRecords;
    };

    topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers);

    void start();
    /// Takes effect after the read that is under way.
    void setPollInterval(duration pollInterval) { m_options.pollInterval = pollInterval; }
    /// Whether a snapshot was read.
    bool isReady() const { return m_isReady; }
    /// Everything that stood in the partition at this time was delivered; the epoch while nothing was read.
    instant confirmedAt() const { return m_confirmedAt; }
    /// Last time at which the log answered after having failed.
    instant regainedAt() const { return m_regainedAt; }
    std::uint64_t readFailures() const { return m_readFailures; }

private:
    void applySnapshot(newest_records newest);
    void readTail();
    void applyTail(const read_outcome& outcome);
    void recordReadResult(bool isDone);
    void retryLater(void (topic_follower::*step)());
    void readSnapshot();

    shared_log& m_log;
    topic_follower_options m_options;
    handlers m_handlers;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_next = 0;
    bool m_isReady = false;
    bool m_isFailing = false;
    std::uint32_t m_failuresInRow = 0;
    /// Pages that were read before one was not answered.
    newest_records m_partial;
    std::minstd_rand m_random;
    instant m_sentAt {};
    instant m_confirmedAt {};
    instant m_regainedAt {};
    std::uint64_t m_readFailures = 0;
};

}
