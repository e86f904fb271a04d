#pragma once

#include "bootclock.h"
#include "newestpages.h"

#include <rollout/sharedlog.h>

#include <cstdint>
#include <functional>
#include <random>
#include <span>

namespace ragwortreach {

struct topic_follower_options {
    topic_partition topicPartition;
    /// Time that the log may hold a read until there is a record (long poll).
    duration wait = std::chrono::milliseconds(1000);
    /// Least time between two reads, so that a burst of records is read in few answers.
    duration pollInterval = std::chrono::milliseconds(20);
    /// How often the time-out of a read may double while reads fail. Only for topics with large answers, which may be slow
    /// without being lost; for all others a longer time-out only delays the next attempt after an outage.
    std::uint32_t maxTimeoutDoublings = 0;
    /// The snapshot has only the keys that begin with this; the tail has all records.
    std::string snapshotPrefix {};
};

/// What the snapshots of a follower have cost since the start of the process.
struct snapshot_counters {
    std::uint64_t snapshots = 0;
    std::uint64_t pages = 0;
    /// Bytes of keys and values in the pages.
    std::uint64_t bytes = 0;
    /// Pages that were requested and not received.
    std::uint64_t failedPages = 0;
};

/// Follows a partition of a topic that keeps the newest record of each key.
///
/// It reads the pages of newest records of all keys, or of those with a prefix (the snapshot), then the records after them
/// in order (the tail). It reads the pages again when the log has dropped records of the tail that were not read yet.
///
/// After an outage, or once the log has dropped its history, all daemons of a fleet read again at once, while the capacity
/// of the log is limited. So a follower resumes after the pages that it already has, and randomises its retry delays.
///
/// During an outage, reads may remain without any answer, also after the log is back. So a follower does not wait for the
/// time-out of an overdue read: it sends further ones over new connections, and the first answer counts. When the answer
/// to a read that was overtaken arrives after all, the log was only slow, and the follower becomes more patient.
class topic_follower {
public:
    struct handlers {
        /// Newest records of all keys, in the order of their offsets. \a newRecords are those not delivered before.
        std::function<void(std::span<const keyed_record> all, std::span<const keyed_record> newRecords)> onSnapshot;
        /// Next records of the tail.
        std::function<void(std::span<const keyed_record>)> onRecords;
        /// Optional: confirmedAt() has advanced. All records that it covers have been delivered.
        std::function<void()> onConfirmed {};
    };

    topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers);

    void start();
    /// Takes effect after the read in flight.
    void setPollInterval(duration pollInterval) { m_options.pollInterval = pollInterval; }
    /// Whether a snapshot was read.
    bool isReady() const { return m_isReady; }
    /// All records that were in the partition at this time have been delivered; the epoch while nothing was read.
    instant confirmedAt() const { return m_confirmedAt; }
    /// Last time at which a read succeeded after a failed one; the epoch while there was none.
    instant regainedAt() const { return m_regainedAt; }
    std::uint64_t readFailures() const { return m_readFailures; }
    const snapshot_counters& snapshots() const { return m_snapshots; }

private:
    void applySnapshot(newest_records newest);
    void readTail();
    void sendRead(const read_range& range);
    void awaitAnswer(duration time);
    void onOverdue();
    void onReadDone(std::uint64_t number, instant sentAt, const read_outcome& outcome);
    void applyTail(instant sentAt, const read_outcome& outcome);
    void confirm(instant sentAt);
    void learnPatience(instant sentAt, bool isOvertaken);
    void recordReadResult(bool isDone);
    void retryLater(void (topic_follower::*step)());
    void readSnapshot();

    shared_log& m_log;
    topic_follower_options m_options;
    handlers m_handlers;
    boot_timer m_timer;
    std::uint64_t m_next = 0;
    /// Number of the present read; the further ones sent while it is overdue share it.
    std::uint64_t m_readNumber = 0;
    std::size_t m_openReads = 0;
    /// Time beyond its wait after which a read is overdue.
    duration m_patience;
    bool m_isReady = false;
    bool m_isFailing = false;
    std::uint32_t m_failuresInRow = 0;
    /// Pages read before reading one failed.
    newest_records m_partial;
    std::minstd_rand m_random;
    instant m_sentAt {};
    instant m_confirmedAt {};
    instant m_regainedAt {};
    std::uint64_t m_readFailures = 0;
    snapshot_counters m_snapshots;
};

}
