#pragma once

#include "producertable.h"

#include <rollout/sharedlog.h>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <limits>
#include <map>
#include <set>
#include <vector>

namespace ragwortreach {

/// Fault injected into one append.
enum class append_fault {
    None,
    /// Nothing is appended, and the caller is told so.
    Refuse,
    /// The records are appended, and the answer is lost.
    LoseAnswer,
    /// The answer is lost, and the records are appended only after the next append that succeeds.
    ApplyLate,
    /// The request is lost: nothing is appended, and no answer arrives.
    LoseCall,
};

/// Log in memory that injects faults of the platform's store.
class memory_log : public shared_log {
public:
    explicit memory_log(boost::asio::io_context& context);

    void append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records,
        std::function<void(const append_outcome&)> onDone) override;
    void read(const topic_partition& topicPartition, const read_range& range, read_handlers handlers) override;
    void readNewest(const topic_partition& topicPartition, const newest_range& range, std::function<void(const newest_outcome&)> onDone) override;

    /// Faults of the next appends, in order.
    void setFaults(std::vector<append_fault> faults);
    /// Appends with a record of \a key are refused for good; none when it is empty.
    void setUnacceptable(std::string key) { m_unacceptableKey = std::move(key); }
    /// While down, every call fails.
    void setDown(bool isDown) { m_isDown = isDown; }
    /// While silent, reads by offset get no answer within their time.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Time until reads by offset are answered.
    void setReadDelay(duration delay) { m_readDelay = delay; }
    /// Bytes a second at which answers to reads by offset arrive, piece by piece; at once when it is 0.
    void setReadRate(std::size_t bytesPerSecond) { m_readRate = bytesPerSecond; }
    /// The next \a count pages get no answer within their time.
    void setSilentPages(std::size_t count) { m_silentPages = count; }
    /// Time until pages are answered.
    void setPageDelay(duration delay) { m_pageDelay = delay; }
    /// Largest page, in records and in bytes of their values.
    void setPageLimits(std::size_t records, std::size_t bytes)
    {
        m_pageRecords = records;
        m_pageBytes = bytes;
    }
    /// Makes the reads of \a failures pages fail, after \a pages more.
    void failPageAfter(std::size_t pages, std::size_t failures = 1)
    {
        m_pagesUntilFailure = pages;
        m_failingPages = failures;
    }
    /// Number of pages read with success.
    std::size_t pages() const { return m_pages; }
    /// Number of pages requested.
    std::size_t pageRequests() const { return m_pageRequests; }
    /// Of these, those that were not to use an open connection.
    std::size_t newPageConnections() const { return m_newPageConnections; }
    /// Drops the history, so that reads by offset expire; the newest record of each key stays.
    void compact();
    /// Appends a record to the partition that is used first.
    void put(const std::string& key, const std::string& value);
    /// Appends the removal of \a key to the partition that is used first.
    void erase(const std::string& key);

    /// Records of the partition that was used first.
    const std::vector<keyed_record>& records() { return partitionOf({}).records; }
    const std::vector<keyed_record>& records(const topic_partition& topicPartition) { return partitionOf(topicPartition).records; }
    /// Reads by offset so far.
    std::size_t reads() const { return m_reads; }
    /// Bytes of the records that reads by offset were sent so far.
    std::size_t sentBytes() const { return m_sentBytes; }
    /// Bytes that the reads by offset asked for so far.
    std::size_t askedBytes() const { return m_askedBytes; }
    /// Time that the last read allowed for its answer beyond its wait.
    duration lastSlack() const { return m_lastSlack; }

private:
    struct pending_append {
        topic_partition topicPartition;
        append_identity identity;
        std::vector<keyed_record> records;
    };

    struct partition {
        std::vector<keyed_record> records;
        std::uint64_t firstRetained = 0;
    };

    /// Partition with the records that were put before it was first used; an empty topic stands for the one used first.
    partition& partitionOf(const topic_partition& topicPartition);
    append_outcome apply(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records);

    /// Answers a read after \a delay, or piece by piece at the reading rate.
    void sendRecords(duration delay, const read_outcome& outcome, const read_handlers& handlers);
    /// Calls \a answer after \a delay, never from within the call.
    void answerAfter(duration delay, std::function<void()> answer);

    boost::asio::io_context& m_context;
    std::map<std::string, partition> m_partitions;
    std::string m_firstName;
    std::deque<append_fault> m_faults;
    std::string m_unacceptableKey;
    std::deque<pending_append> m_lateAppends;
    producer_table m_producers;
    std::size_t m_reads = 0;
    std::size_t m_askedBytes = 0;
    std::size_t m_sentBytes = 0;
    duration m_lastSlack {};
    std::size_t m_pages = 0;
    std::size_t m_pageRequests = 0;
    std::size_t m_newPageConnections = 0;
    std::size_t m_silentPages = 0;
    /// Small, so that tests read several pages.
    std::size_t m_pageRecords = 3;
    std::size_t m_pageBytes = std::numeric_limits<std::size_t>::max();
    /// Pages until the reads of \c m_failingPages pages fail.
    std::size_t m_pagesUntilFailure = 0;
    std::size_t m_failingPages = 0;
    bool m_isDown = false;
    bool m_isSilent = false;
    duration m_readDelay {};
    std::size_t m_readRate = 0;
    duration m_pageDelay {};
};

}
