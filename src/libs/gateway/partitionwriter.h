#pragma once

#include <rollout/sharedlog.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

/// Whether the writer goes on with records that the log refused.
enum class write_mode {
    /// Until they are appended.
    RetryOnRefusal,
    /// Until they are refused. The handler learns that the outcome is not known when it is not known for long.
    FailOnRefusal,
};

/// What became of records.
struct append_report {
    append_status status = append_status::Unknown;
    /// With Done, offset of the first record; empty when the log did not name it.
    std::optional<std::uint64_t> firstOffset {};
};

/// Appends records to one partition of the journal, each exactly once.
///
/// One append is under way at a time; the records that wait go together in the next one. An append without an answer
/// is repeated under its numbers, which the log carries out once.
class partition_writer {
public:
    /// May be empty.
    using done_handler = std::function<void(const append_report&)>;

    partition_writer(boost::asio::io_context& context, shared_log& log, topic_partition topicPartition, std::string producer);

    void write(std::vector<keyed_record> records, write_mode mode, done_handler onDone);
    /// Records that are not appended yet.
    std::size_t pendingWrites() const;
    std::uint64_t appends() const { return m_appends; }
    std::uint64_t failures() const { return m_failures; }

private:
    struct pending_write {
        std::vector<keyed_record> records;
        write_mode mode = write_mode::RetryOnRefusal;
        done_handler onDone;
        bool isReported = false;
        instant firstSentAt {};
    };

    static void report(const pending_write& item, const append_report& report);
    void sendNext();
    void send();
    void onAppendDone(const append_outcome& outcome);
    void complete(std::optional<std::uint64_t> firstOffset);
    void failRefusedWrites();
    void reportUnknown();
    void retryLater();

    shared_log& m_log;
    topic_partition m_topicPartition;
    append_identity m_identity;
    boost::asio::steady_timer m_timer;
    std::deque<pending_write> m_queue;
    std::vector<pending_write> m_sending;
    std::vector<keyed_record> m_records;
    /// An append is under way or waits to be repeated.
    bool m_isBusy = false;
    bool m_mayHaveBeenAppended = false;
    std::uint64_t m_appends = 0;
    std::uint64_t m_failures = 0;
};

}
