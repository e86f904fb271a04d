#pragma once

#include "producertable.h"
#include "virtualtime.h"

#include <rollout/sharedlog.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Rates and limits of the platform's log.
struct rated_log_options {
    /// Bytes a second of all answers to reads together.
    std::uint64_t bytesPerSecond = std::uint64_t { 80 } * 1000 * 1000;
    /// Time of a call beside that of its answer.
    duration callTime = std::chrono::milliseconds(4);
    /// Age at which records leave the history.
    duration history = std::chrono::seconds(20);
};

/// Reading call to a rated_log.
template <typename outcome>
struct rated_call {
    /// Called when the answer stands, with its size in bytes.
    std::function<void(std::size_t bytes)> onQueued;
    /// Called when the answer has been sent; empty once the reader no longer waits for it.
    std::function<void(const outcome&)> onSent;
};

/// Log in virtual time that sends the answers to reads one after another, at a limited rate.
///
/// It spends the time of an answer also when its reader no longer waits for it. Appends are carried out at once.
class rated_log {
public:
    using read_call = std::shared_ptr<rated_call<read_outcome>>;
    using newest_call = std::shared_ptr<rated_call<newest_outcome>>;

    /// Largest page of newest records, in bytes of keys and values.
    static constexpr std::size_t maxPageBytes = std::size_t { 1024 } * 1024;

    rated_log(virtual_time& time, const rated_log_options& options);

    append_outcome append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records);
    void read(const topic_partition& topicPartition, const read_range& range, read_call call);
    void readNewest(const topic_partition& topicPartition, std::string_view afterKey, const newest_call& call);

    duration callTime() const { return m_options.callTime; }
    /// Time until all answers that stand are sent.
    duration backlog() const;
    /// Bytes of keys and values of all records of a topic so far.
    std::uint64_t bytesAppended(const topic_partition& topicPartition) { return partitionOf(topicPartition).bytes; }

private:
    struct stored_record {
        keyed_record record;
        instant appendedAt;
    };

    /// Read that waits for a record.
    struct waiting_read {
        read_range range;
        read_call call;
    };

    struct partition {
        std::vector<stored_record> records;
        std::uint64_t bytes = 0;
        /// Offset of the newest record of each key that is not removed.
        std::map<std::string, std::uint64_t, std::less<>> newest;
        /// By the number of the read.
        std::map<std::uint64_t, waiting_read> waiting;
    };

    partition& partitionOf(const topic_partition& topicPartition);
    std::uint64_t firstRetained(const partition& from) const;
    void answer(const partition& from, const read_range& range, const read_call& call);
    void answerWaiting(partition& from);
    /// Calls \a onSent once all answers that stand and one of \a bytes more are sent.
    void send(std::size_t bytes, std::function<void()> onSent);

    virtual_time& m_time;
    rated_log_options m_options;
    std::map<std::string, partition> m_partitions;
    producer_table m_producers;
    std::uint64_t m_lastRead = 0;
    /// Time at which all answers that stand are sent.
    instant m_idleAt {};
};

}
