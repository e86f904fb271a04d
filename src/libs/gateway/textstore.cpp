#include "textstore.h"

#include "textkeys.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.texts";
    /// A list and the contents of its batch, twice: what was read for a caller that left is there when it comes again.
    constexpr std::size_t maxCacheBytes = std::size_t { 4 } * 1024 * 1024;
    constexpr std::uint32_t recordsPerAppend = maxAppendBytes / maxRecordBytes;

}

text_store::text_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, std::string writer)
    : m_context(context)
    , m_writerName(std::move(writer))
    , m_writers(context, log, std::string(topicName), partitions, m_writerName + "-texts")
    , m_requests(log, m_writers, maxCacheBytes)
{
}

void text_store::write(std::string_view batch, std::string_view part, std::string text, write_mode mode, write_handler onDone)
{
    std::vector<std::string> records;
    if (text.size() <= maxRecordBytes) {
        records.push_back(std::move(text));
    } else {
        for (const std::string_view record : splitIntoRecords(text))
            records.emplace_back(record);
    }
    write(batch, part, std::move(records), mode, std::move(onDone));
}

void text_store::write(std::string_view batch, std::string_view part, std::vector<std::string> records, write_mode mode, write_handler onDone)
{
    ++m_requests.counters().written;
    const std::shared_ptr<text_write> pending = std::make_shared<text_write>();
    pending->reference.key = std::string(batch) + "/" + std::string(part) + "/" + m_writerName;
    pending->reference.partition = m_writers.partitionOf(batch);
    pending->reference.records = static_cast<std::uint32_t>(records.size());
    pending->reference.recordsPerAppend = records.size() > recordsPerAppend ? recordsPerAppend : 0;
    for (const std::string& record : records)
        pending->reference.bytes += record.size();
    pending->records = std::move(records);
    pending->mode = mode;
    pending->onDone = std::move(onDone);
    appendNext(pending);
}

void text_store::appendNext(const std::shared_ptr<text_write>& write)
{
    const std::size_t end = std::min<std::size_t>(write->records.size(), write->appended + recordsPerAppend);
    std::vector<keyed_record> records;
    for (std::size_t number = write->appended; number < end; ++number)
        records.push_back({ chunkKey(write->reference.key, static_cast<std::uint32_t>(number)), write->records[number], 0 });
    const std::uint32_t count = static_cast<std::uint32_t>(records.size());
    m_writers[write->reference.partition].write(std::move(records), write->mode,
        [this, write, count](const append_report& report) { onAppended(write, count, report); });
}

void text_store::onAppended(const std::shared_ptr<text_write>& write, std::uint32_t count, const append_report& report)
{
    const bool isFirst = write->appended == 0;
    if (report.status != append_status::Done) {
        if (!isFirst)
            removeRecords(write->reference, write->appended + count);
        // An append with an unknown outcome is sent again for long after this report, and keeps the write alive.
        write->records.clear();
        std::exchange(write->onDone, {})({ report.status, {} });
        return;
    }
    if (isFirst && !report.firstOffset) {
        // The log appended the records in an earlier attempt and no longer returns their offset. They are written again,
        // which gives them a known offset.
        appendNext(write);
        return;
    }
    takeAppended(*write, count, report.firstOffset);
    if (write->appended < write->reference.records)
        appendNext(write);
    else
        std::exchange(write->onDone, {})({ append_status::Done, write->reference });
}

void text_store::takeAppended(text_write& write, std::uint32_t count, std::optional<std::uint64_t> firstOffset)
{
    if (write.appended == 0)
        write.reference.offset = *firstOffset;
    else
        write.reference.laterAppends.push_back(firstOffset.value_or(0));
    for (std::uint32_t number = write.appended; number < write.appended + count; ++number) {
        std::string record = std::exchange(write.records[number], {});
        m_requests.cache().add({ chunkKey(write.reference.key, number), std::make_shared<const std::string>(std::move(record)) });
    }
    write.appended += count;
}

void text_store::read(std::span<const text_reference> references, text_read_options options, text_read::done_handler onDone)
{
    std::make_shared<text_read>(m_context, m_requests, references, std::move(options), std::move(onDone))->start();
}

void text_store::remove(std::span<const text_reference> references)
{
    for (const text_reference& reference : references) {
        // The text may have been written by a daemon with more partitions in its settings.
        if (reference.partition >= m_writers.size())
            continue;
        removeRecords(reference, reference.records);
    }
}

/// Removes the first \a count records of a text.
void text_store::removeRecords(const text_reference& reference, std::uint32_t count)
{
    std::vector<std::string> keys;
    for (std::uint32_t number = 0; number < count; ++number)
        keys.push_back(chunkKey(reference.key, number));
    m_writers.remove(reference.partition, keys);
}

}
