#include "topicwriter.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace ragwortreach {

std::vector<std::string_view> splitIntoRecords(std::string_view bytes)
{
    std::vector<std::string_view> pieces;
    do {
        pieces.push_back(bytes.substr(0, maxRecordBytes));
        bytes.remove_prefix(pieces.back().size());
    } while (!bytes.empty());
    return pieces;
}

void record_splitter::append(std::string_view piece)
{
    while (!piece.empty()) {
        if (m_records.back().size() == maxRecordBytes) {
            m_records.emplace_back();
            m_records.back().reserve(maxRecordBytes);
        }
        const std::size_t room = maxRecordBytes - m_records.back().size();
        m_records.back() += piece.substr(0, room);
        piece.remove_prefix(std::min(room, piece.size()));
    }
}

std::vector<std::string> record_splitter::take()
{
    m_records.back().shrink_to_fit();
    return std::exchange(m_records, { std::string() });
}

topic_writer::topic_writer(boost::asio::io_context& context, shared_log& log, std::string topic, std::uint32_t partitions,
    const std::string& producer)
    : m_topic(std::move(topic))
{
    for (std::uint32_t number = 0; number < partitions; ++number)
        m_writers.push_back(std::make_unique<partition_writer>(context, log, topicPartition(number), producer + "-" + std::to_string(number)));
}

std::uint32_t topic_writer::partitionOf(std::string_view name) const
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % m_writers.size());
}

void topic_writer::remove(std::uint32_t partition, const std::vector<std::string>& keys)
{
    if (keys.empty())
        return;
    std::vector<keyed_record> removals;
    removals.reserve(keys.size());
    for (const std::string& key : keys)
        removals.push_back({ key, std::nullopt, 0 });
    m_writers[partition]->write(std::move(removals), write_mode::RetryOnRefusal, {});
}

std::size_t topic_writer::pendingWrites() const
{
    std::size_t pendingWrites = 0;
    for (const std::unique_ptr<partition_writer>& writer : m_writers)
        pendingWrites += writer->pendingWrites();
    return pendingWrites;
}

}
