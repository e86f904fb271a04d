#include "textstore.h"

#include "textread.h"

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.texts";
    /// Trainers read a text once, soon after it was written; a few other callers read it after them.
    constexpr std::size_t maxCacheBytes = std::size_t { 1024 } * 1024;

}

std::string text_store::chunkKey(const std::string& key, std::uint32_t number)
{
    return key + "/" + std::to_string(number);
}

text_store::text_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, std::string writer)
    : m_log(log)
    , m_writerName(std::move(writer))
    , m_writers(context, log, std::string(topicName), partitions, m_writerName + "-texts")
{
}

text_store::~text_store() = default;

void text_store::write(std::string_view batch, std::string_view part, std::string text, write_mode mode, write_handler onDone)
{
    ++m_counters.written;
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

void text_store::read(std::vector<text_reference> references, std::function<void(const std::optional<text_list>&)> onDone)
{
    std::make_shared<text_read>(*this, std::move(references), std::move(onDone))->start();
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

void text_store::cacheText(const std::string& key, std::shared_ptr<const std::string> text)
{
    if (m_cacheIndex.contains(key))
        return;
    m_cacheBytes += text->size();
    m_cache.push_front({ key, std::move(text) });
    m_cacheIndex.emplace(key, m_cache.begin());
    while (m_cacheBytes > maxCacheBytes && m_cache.size() > 1) {
        m_cacheBytes -= m_cache.back().text->size();
        m_cacheIndex.erase(m_cache.back().key);
        m_cache.pop_back();
    }
}

std::shared_ptr<const std::string> text_store::cached(const std::string& key)
{
    const auto found = m_cacheIndex.find(key);
    if (found == m_cacheIndex.end())
        return nullptr;
    m_cache.splice(m_cache.begin(), m_cache, found->second);
    return found->second->text;
}

}
