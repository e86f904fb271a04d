#pragma once

#include "partitionwriter.h"

#include <rollout/sharedlog.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Largest value of a record. The log takes records of 256 KiB; the key takes its part.
inline constexpr std::size_t maxRecordBytes = std::size_t { 200 } * 1024;

/// \a bytes in pieces that fit records, in order; one piece at least.
std::vector<std::string_view> splitIntoRecords(std::string_view bytes);

/// Writers of all partitions of a topic.
class topic_writer {
public:
    /// \a producer names this life of the process in the topic; no other process ever has the same name.
    topic_writer(boost::asio::io_context& context, shared_log& log, std::string topic, std::uint32_t partitions, const std::string& producer);

    /// Partition of all records that belong to \a name.
    std::uint32_t partitionOf(std::string_view name) const;
    topic_partition topicPartition(std::uint32_t partition) const { return { m_topic, partition }; }
    std::size_t size() const { return m_writers.size(); }
    partition_writer& operator[](std::uint32_t partition) { return *m_writers[partition]; }
    /// Removes \a keys, all of them together.
    void remove(std::uint32_t partition, const std::vector<std::string>& keys);
    /// Records that are not appended yet.
    std::size_t pendingWrites() const;

private:
    std::string m_topic;
    std::vector<std::unique_ptr<partition_writer>> m_writers;
};

}
