#pragma once

#include "bootclock.h"
#include "retrypause.h"

#include <rollout/sharedlog.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

/// Largest append that is sent; larger ones block the partition for other writers for too long.
inline constexpr std::size_t maxAppendBytes = std::size_t { 1024 } * 1024;

/// What the writer does with records that the log refused.
enum class write_mode {
    /// It sends them again until they are appended.
    RetryOnRefusal,
    /// It drops them and reports the refusal. An outcome that stays unknown for long is reported as unknown, while the
    /// records are still sent again.
    FailOnRefusal,
};

/// Outcome of a write.
struct append_report {
    append_status status = append_status::Unknown;
    /// With Done, offset of the first record; empty when the log did not return it.
    std::optional<std::uint64_t> firstOffset {};
};

/// Appends records to one partition of a topic, each exactly once.
///
/// One append is in flight at a time; the writes that arrive meanwhile are batched into the next one. An append without
/// an answer is sent again with the same epoch and sequence number, so the log carries it out once. The writers of a fleet
/// lose their answers together, so the pause before the next attempt is random, and it grows up to a bound until the log
/// answers. Writes whose append the log will never take are sent one by one, so that the others do not wait for the one that
/// is to blame.
class partition_writer {
public:
    /// Called once with the outcome, which is Done, Refused or Unknown; may be empty.
    using done_handler = std::function<void(const append_report&)>;

    partition_writer(boost::asio::io_context& context, shared_log& log, topic_partition topicPartition, std::string producer);

    /// \a records go into one append, so they should not have more than maxAppendBytes.
    void write(std::vector<keyed_record> records, write_mode mode, done_handler onDone);
    /// Writes that are not appended yet.
    std::size_t pendingWrites() const;
    std::uint64_t appends() const { return m_appends; }
    std::uint64_t failures() const { return m_failures; }

private:
    /// Write that is queued or in flight.
    struct pending_write {
        std::vector<keyed_record> records;
        write_mode mode = write_mode::RetryOnRefusal;
        done_handler onDone;
        bool isReported = false;
        /// It was in an append that the log will never take, so it is sent by itself.
        bool isSuspect = false;
        /// An append of it had an unknown outcome, so a refusal of its repetition proves nothing.
        bool mayHaveBeenAppended = false;
        instant firstSentAt {};
    };

    /// Whether the writes in flight, which have been in the same appends, may have been appended.
    bool mayHaveBeenAppended() const { return m_sending.front().mayHaveBeenAppended; }
    static void report(const pending_write& item, const append_report& report);
    void sendNext();
    void send();
    void onAppendDone(const append_outcome& outcome);
    void complete(std::optional<std::uint64_t> firstOffset);
    /// Ends the writes in flight that are not to be retried after a refusal.
    void failRefusedWrites();
    /// Has the writes in flight sent one by one, or, if there is only one, ends it or puts it behind all others.
    void isolateUnacceptable();
    /// Queues a write that the log will not take behind all others, in case that it does some time.
    void putBehind(pending_write item);
    /// Notes that the writes in flight may have been appended, and reports those for which that is so for long.
    void noteUnknown();
    void retryLater();

    shared_log& m_log;
    topic_partition m_topicPartition;
    append_identity m_identity;
    boot_timer m_timer;
    std::deque<pending_write> m_queue;
    std::vector<pending_write> m_sending;
    std::vector<keyed_record> m_records;
    /// An append is in flight or waits for its retry.
    bool m_isBusy = false;
    retry_pause m_retryPause;
    std::uint64_t m_appends = 0;
    std::uint64_t m_failures = 0;
};

}
