#include "textstore.h"

#include "textkeys.h"

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.texts";
    /// A list and the contents of its batch, twice: what was read for a caller that left is there when it comes again.
    constexpr std::size_t maxCacheBytes = std::size_t { 4 } * 1024 * 1024;

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
    ++m_requests.counters().written;
    text_reference reference;
    reference.key = std::string(batch) + "/" + std::string(part) + "/" + m_writerName;
    reference.partition = m_writers.partitionOf(batch);
    reference.bytes = text.size();
    append(std::move(reference), std::make_shared<const std::string>(std::move(text)), mode, std::move(onDone));
}

void text_store::append(text_reference reference, std::shared_ptr<const std::string> text, write_mode mode, write_handler onDone)
{
    std::vector<keyed_record> records;
    for (const std::string_view piece : splitIntoRecords(*text))
        records.push_back({ chunkKey(reference.key, static_cast<std::uint32_t>(records.size())), std::string(piece), 0 });
    reference.records = static_cast<std::uint32_t>(records.size());
    m_writers[reference.partition].write(std::move(records), mode,
        [this, withoutOffset = reference, text = std::move(text), mode, whenDone = std::move(onDone)](const append_report& report) {
            if (report.status != append_status::Done) {
                whenDone({ report.status, {} });
                return;
            }
            if (!report.firstOffset) {
                // The log appended the records in an earlier attempt and no longer returns their offset. They are written
                // again, which gives them a known offset.
                append(withoutOffset, text, mode, whenDone);
                return;
            }
            text_reference written = withoutOffset;
            written.offset = *report.firstOffset;
            cacheText(written.key, text);
            whenDone({ append_status::Done, written });
        });
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
        std::vector<std::string> keys;
        for (std::uint32_t number = 0; number < reference.records; ++number)
            keys.push_back(chunkKey(reference.key, number));
        m_writers.remove(reference.partition, keys);
    }
}

void text_store::cacheText(const std::string& key, const std::shared_ptr<const std::string>& text)
{
    const std::vector<std::string_view> pieces = splitIntoRecords(*text);
    if (pieces.size() == 1) {
        m_requests.cache().add({ chunkKey(key, 0), text });
        return;
    }
    for (std::uint32_t number = 0; number < pieces.size(); ++number)
        m_requests.cache().add({ chunkKey(key, number), std::make_shared<const std::string>(pieces[number]) });
}

}
