#pragma once

#include "partitionwriter.h"

#include <rollout/sharedlog.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Largest value of a record. The log accepts records of up to 256 KiB, including the key.
inline constexpr std::size_t maxRecordBytes = std::size_t { 200 } * 1024;

/// Splits \a bytes into pieces that fit a record, in order; at least one piece.
std::vector<std::string_view> splitIntoRecords(std::string_view bytes);

/// Puts pieces together to the records that splitIntoRecords() would make of the whole.
class record_splitter {
public:
    void append(std::string_view piece);
    /// The records, at least one.
    std::vector<std::string> take();

private:
    std::vector<std::string> m_records { std::string() };
};

/// Writes to all partitions of a topic; has one partition_writer for each.
class topic_writer {
public:
    /// \a producer names this process instance in the topic; no other process instance ever has the same name.
    topic_writer(boost::asio::io_context& context, shared_log& log, std::string topic, std::uint32_t partitions, const std::string& producer);

    /// Partition for all records that belong to \a name, such as the id of a batch.
    std::uint32_t partitionOf(std::string_view name) const;
    topic_partition topicPartition(std::uint32_t partition) const { return { m_topic, partition }; }
    std::size_t size() const { return m_writers.size(); }
    partition_writer& operator[](std::uint32_t partition) { return *m_writers[partition]; }
    /// Removes \a keys in one append.
    void remove(std::uint32_t partition, const std::vector<std::string>& keys);
    /// Writes that are not appended yet.
    std::size_t pendingWrites() const;

private:
    std::string m_topic;
    std::vector<std::unique_ptr<partition_writer>> m_writers;
};

}
