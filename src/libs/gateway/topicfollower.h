#pragma once

#include "bootclock.h"
#include "newestpages.h"
#include "retrypause.h"

#include <rollout/sharedlog.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <span>

namespace ragwortreach {

struct topic_follower_options {
    topic_partition topicPartition;
    /// Time that the log may hold a read until there is a record (long poll).
    duration wait = std::chrono::milliseconds(1000);
    /// Least time between two reads, so that a burst of records is read in few answers.
    duration pollInterval = std::chrono::milliseconds(20);
    /// The snapshot has only the keys that begin with this; the tail has all records.
    std::string snapshotPrefix {};
    /// Largest record that is taken, in bytes.
    std::size_t maxRecordBytes = defaultMaxRecordBytes;
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

/// What the reads of the tail have cost since the start of the process.
struct tail_counters {
    std::uint64_t reads = 0;
    /// Of these, probes and reads that were sent while another one was overdue.
    std::uint64_t overdueReads = 0;
    /// Reads without an answer in time.
    std::uint64_t unansweredReads = 0;
    /// Reads that the log answered with a refusal.
    std::uint64_t refusedReads = 0;
    /// Reads that ended otherwise before their time: the log could not be reached, or the connection broke.
    std::uint64_t brokenReads = 0;
    /// Bytes of keys and values in the answers.
    std::uint64_t receivedBytes = 0;
    /// Records that were passed over, since they are larger than this daemon takes.
    std::uint64_t oversizedRecords = 0;
};

/// Follows a partition of a topic that keeps the newest record of each key.
///
/// It reads the pages of newest records of all keys, or of those with a prefix (the snapshot), then the records after them
/// in order (the tail). It reads the pages again when the log has dropped records of the tail that were not read yet.
///
/// After an outage, or once the log has dropped its history, all daemons of a fleet read again at once, while the capacity
/// of the log is limited. So a follower resumes after the pages that it already has, and randomises its retry delays. It
/// reads the tail in answers so small that the log can send one to each daemon of a fleet within the time-out, and reads on
/// at once until it has reached the end.
///
/// During an outage, reads may remain without any answer, also after the log is back. So a follower does not wait for the
/// time-out of an overdue read: it sends probes over new connections, which tell the end of the partition, ever more rarely.
/// When there is nothing to read, the probe stands for the answer; otherwise the read is repeated over a new connection,
/// and the first answer counts. The log may also be busy with the reads of the fleet, and sends each answer whether or not
/// its reader still waits. So nothing is repeated while an answer arrives, and no read is given up before a busy log has
/// answered. When the answer to a read that was overtaken arrives after all, the log was only slow, and the follower
/// becomes more patient.
///
/// A record may be larger than this daemon has the memory for. Such a record is passed over and reported. A page with one
/// is requested again as soon as something was written.
class topic_follower {
public:
    struct handlers {
        /// Newest records of all keys, in the order of their offsets. \a newRecords are those not delivered before.
        std::function<void(std::span<const keyed_record> all, std::span<const keyed_record> newRecords)> onSnapshot;
        /// Next records of the tail.
        std::function<void(std::span<const keyed_record>)> onRecords;
        /// Optional: confirmedAt() has advanced. All records that it covers have been delivered.
        std::function<void()> onConfirmed {};
        /// Optional: the log answered that it does not serve this daemon.
        std::function<void()> onRefused {};
        /// Optional: the log answered that the partition has records that have not been delivered. They are delivered by the
        /// next onConfirmed.
        std::function<void()> onBehind {};
        /// Optional: a record, or a page of the snapshot, is larger than this daemon takes.
        std::function<void(const oversized_record&)> onOversized {};
    };

    topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers);

    void start();
    /// Takes effect after the read in flight.
    void setPollInterval(duration pollInterval) { m_options.pollInterval = pollInterval; }
    /// Whether a snapshot was read.
    bool isReady() const { return m_isReady; }
    /// All records that were in the partition at this time have been delivered; the epoch while nothing was read.
    instant confirmedAt() const { return m_confirmedAt; }
    /// Last time at which a read succeeded after a failed one, or the records missed meanwhile had been read; the epoch
    /// while there was none.
    instant regainedAt() const { return m_regainedAt; }
    /// Age that confirmedAt() reaches while nothing is written and the log answers in time.
    duration usualAge() const { return m_options.wait + m_options.pollInterval; }
    std::uint64_t readFailures() const { return m_readFailures; }
    const snapshot_counters& snapshots() const { return m_snapshots; }
    const tail_counters& tail() const { return m_tail; }
    /// Records that the partition had after the last one that was delivered, when the last answer was sent.
    std::uint64_t backlog() const { return m_end - std::min(m_next, m_end); }
    const topic_partition& topicPartition() const { return m_options.topicPartition; }
    /// Takes effect with the next read.
    void setMaxRecordBytes(std::size_t bytes) { m_options.maxRecordBytes = bytes; }
    std::size_t maxRecordBytes() const { return m_options.maxRecordBytes; }
    /// The last record or page that was larger than this daemon takes; unset while there was none.
    const oversized_record& lastOversized() const { return m_lastOversized; }
    /// What happened to the last read that failed; empty while none has.
    const std::string& lastFailure() const { return m_lastFailure; }

private:
    void applySnapshot(newest_records newest);
    void onSnapshotFailed(newest_records newest);
    void probeOversizedPage();
    void onOversizedPageProbed(const read_outcome& outcome);
    void readTail();
    void sendRead(read_range range);
    void sendProbe();
    void repeatReadSoon();
    void repeatRead();
    /// Whether a part of the answer to the present read arrived just now.
    bool isArriving() const;
    void awaitAnswer(duration time);
    void onOverdue();
    void onProgress(std::uint64_t number, std::uint64_t end);
    void onProbeDone(std::uint64_t number, instant sentAt, const read_outcome& outcome);
    void noteEnd(std::uint64_t end);
    void onReadDone(std::uint64_t number, instant sentAt, const read_outcome& outcome);
    void passOver(const oversized_record& record);
    void applyTail(instant sentAt, const read_outcome& outcome);
    void confirm(instant sentAt);
    void noteFailure(const read_outcome& outcome, instant sentAt);
    void reportRefusal();
    void reportBehind();
    void learnPatience(std::uint64_t number, instant sentAt);
    void recordReadResult(bool isDone);
    void retryLater(duration pause, void (topic_follower::*step)());
    void readSnapshot();

    boost::asio::io_context& m_context;
    shared_log& m_log;
    topic_follower_options m_options;
    handlers m_handlers;
    boot_timer m_timer;
    std::uint64_t m_next = 0;
    /// End of the partition according to the last answer.
    std::uint64_t m_end = 0;
    /// Number of the present read; the further ones sent while it is overdue share it.
    std::uint64_t m_readNumber = 0;
    std::size_t m_openReads = 0;
    /// Time beyond its wait after which a read is overdue.
    duration m_patience;
    /// Time until the next probe while the present read is overdue.
    duration m_overdueInterval {};
    /// Time at which the present read was last sent, and time until it may be repeated.
    instant m_readSentAt {};
    duration m_repeatInterval {};
    /// Last time at which a part of the answer to the present read arrived.
    instant m_progressAt {};
    bool m_isReady = false;
    bool m_isFailing = false;
    /// Reads succeed again after a failure, and the end of the partition has not been reached since.
    bool m_isRegaining = false;
    /// Number of the last read whose answer came after it was overtaken.
    std::uint64_t m_lastLate = 0;
    /// Pages read before reading one failed, and the count of requests while pages were overdue.
    newest_records m_partial;
    /// Time between the probes while a page is too large; longer with each further such page.
    retry_pause m_oversizedPause;
    /// End of the partition when a page that was too large was last requested again.
    std::uint64_t m_oversizedPageEnd = 0;
    /// Time at which such a page is requested again, although nothing was written.
    instant m_repeatPageAt {};
    retry_pause m_retryPause;
    instant m_sentAt {};
    instant m_confirmedAt {};
    instant m_regainedAt {};
    std::uint64_t m_readFailures = 0;
    std::string m_lastFailure;
    oversized_record m_lastOversized;
    snapshot_counters m_snapshots;
    tail_counters m_tail;
};

}
