#pragma once

#include <rollout/sharedlog.h>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ragwortreach {

/// What becomes of one append.
enum class append_fault {
    None,
    /// Nothing is appended, and the caller hears so.
    Refuse,
    /// The records are appended, and the answer is lost.
    LoseAnswer,
    /// The answer is lost, and the records are appended after the next append.
    ApplyLate,
    /// Nothing is appended, and no answer comes.
    LoseCall,
};

/// A log in memory, with the faults of the platform's store.
class memory_log : public shared_log {
public:
    explicit memory_log(boost::asio::io_context& context);

    void append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records,
        std::function<void(const append_outcome&)> onDone) override;
    void read(const topic_partition& topicPartition, const read_range& range, std::function<void(const read_outcome&)> onDone) override;
    void readNewest(const topic_partition& topicPartition, std::string_view afterKey, std::function<void(const newest_outcome&)> onDone) override;

    /// Faults of the next appends, in order.
    void setFaults(std::vector<append_fault> faults);
    /// While down, nothing is answered with success.
    void setDown(bool isDown) { m_isDown = isDown; }
    /// The page after \a pages more is not answered.
    void failPageAfter(std::size_t pages) { m_pagesUntilFailure = pages; }
    /// Pages that were answered.
    std::size_t pages() const { return m_pages; }
    /// Drops the history; the newest record of each key stays.
    void compact();
    /// Records of any partition that has no topic of its own yet, as one that a follower reads.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    /// Records of the partition that was used first.
    const std::vector<keyed_record>& records() { return partitionOf({}).records; }
    const std::vector<keyed_record>& records(const topic_partition& topicPartition) { return partitionOf(topicPartition).records; }
    std::size_t reads() const { return m_reads; }
    /// Time that the last read gave for its answer beyond its wait.
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

    /// The first partition that is asked for takes what was put before.
    partition& partitionOf(const topic_partition& topicPartition);
    append_outcome apply(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records);

    boost::asio::io_context& m_context;
    std::map<std::string, partition> m_partitions;
    std::string m_firstName;
    std::deque<append_fault> m_faults;
    std::deque<pending_append> m_late;
    std::map<std::string, append_identity> m_producers;
    std::size_t m_reads = 0;
    duration m_lastSlack {};
    std::size_t m_pages = 0;
    std::optional<std::size_t> m_pagesUntilFailure;
    bool m_isDown = false;
};

}
