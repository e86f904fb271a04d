#include "partitionedwriter.h"

#include <xxhash.h>

namespace ragwortreach {

std::vector<std::string_view> cutForRecords(std::string_view bytes)
{
    std::vector<std::string_view> pieces;
    do {
        pieces.push_back(bytes.substr(0, maxRecordBytes));
        bytes.remove_prefix(pieces.back().size());
    } while (!bytes.empty());
    return pieces;
}

partitioned_writer::partitioned_writer(boost::asio::io_context& context, shared_log& log, std::string topic, std::uint32_t partitions,
    const std::string& producer)
    : m_topic(std::move(topic))
{
    for (std::uint32_t number = 0; number < partitions; ++number)
        m_writers.push_back(std::make_unique<journal_writer>(context, log, where(number), producer + "-" + std::to_string(number)));
}

std::uint32_t partitioned_writer::partitionOf(std::string_view name) const
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()) % m_writers.size());
}

void partitioned_writer::remove(std::uint32_t partition, const std::vector<std::string>& keys)
{
    if (keys.empty())
        return;
    std::vector<keyed_record> removals;
    removals.reserve(keys.size());
    for (const std::string& key : keys)
        removals.push_back({ key, std::nullopt, 0 });
    m_writers[partition]->write(std::move(removals), write_mode::Persistent, {});
}

std::size_t partitioned_writer::waiting() const
{
    std::size_t waiting = 0;
    for (const std::unique_ptr<journal_writer>& writer : m_writers)
        waiting += writer->waiting();
    return waiting;
}

}
