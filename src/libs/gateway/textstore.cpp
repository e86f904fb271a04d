#include "textstore.h"

#include "textread.h"

#include <xxhash.h>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.texts";
    /// The log takes records of 256 KiB; the key takes its part.
    constexpr std::size_t maxChunkBytes = std::size_t { 200 } * 1024;
    /// Trainers read a text once, soon after it was written; some other callers follow.
    constexpr std::size_t maxCacheBytes = std::size_t { 1024 } * 1024;

}

topic_partition text_store::topicOf(std::uint32_t partition)
{
    return { std::string(topicName), partition };
}

std::string text_store::chunkKey(const std::string& key, std::uint32_t number)
{
    return key + "/" + std::to_string(number);
}

text_store::text_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, std::string writer)
    : m_log(log)
    , m_writerName(std::move(writer))
{
    for (std::uint32_t number = 0; number < partitions; ++number) {
        const std::string producer = m_writerName + "-texts-" + std::to_string(number);
        m_writers.push_back(std::make_unique<journal_writer>(context, log, topicOf(number), producer));
    }
}

text_store::~text_store() = default;

void text_store::write(std::string_view batch, std::string_view item, std::string text, std::function<void(const text_reference&)> onDone)
{
    ++m_counters.written;
    text_reference reference;
    reference.key = std::string(batch) + "/" + std::string(item) + "/" + m_writerName;
    reference.partition = static_cast<std::uint32_t>(XXH3_64bits(batch.data(), batch.size()) % m_writers.size());
    reference.bytes = text.size();
    reference.records = 0;
    std::vector<keyed_record> records;
    for (std::string_view rest = text; !rest.empty(); rest.remove_prefix(std::min(rest.size(), maxChunkBytes)))
        records.push_back({ chunkKey(reference.key, reference.records++), std::string(rest.substr(0, maxChunkBytes)), 0 });
    append(std::move(reference), std::move(records), std::make_shared<const std::string>(std::move(text)), std::move(onDone));
}

void text_store::append(text_reference reference, std::vector<keyed_record> records, std::shared_ptr<const std::string> text,
    std::function<void(const text_reference&)> onDone)
{
    journal_writer& writer = *m_writers[reference.partition];
    std::vector<keyed_record> sent = records;
    writer.write(std::move(sent), write_mode::Persistent,
        [this, place = std::move(reference), records = std::move(records), text = std::move(text), whenDone = std::move(onDone)](const append_report& report) {
            if (!report.firstOffset) {
                // The log took the records long ago and no longer says where. Written anew they have a known place.
                append(place, records, text, whenDone);
                return;
            }
            text_reference written = place;
            written.offset = *report.firstOffset;
            keep(written.key, text);
            whenDone(written);
        });
}

void text_store::read(std::vector<text_reference> references, std::function<void(const std::optional<text_list>&)> onDone)
{
    std::make_shared<text_read>(*this, std::move(references), std::move(onDone))->start();
}

void text_store::remove(std::span<const text_reference> references)
{
    for (const text_reference& reference : references) {
        std::vector<keyed_record> removals;
        for (std::uint32_t number = 0; number < reference.records; ++number)
            removals.push_back({ chunkKey(reference.key, number), std::nullopt, 0 });
        if (reference.partition < m_writers.size())
            m_writers[reference.partition]->write(std::move(removals), write_mode::Persistent, {});
    }
}

std::size_t text_store::waiting() const
{
    std::size_t waiting = 0;
    for (const std::unique_ptr<journal_writer>& writer : m_writers)
        waiting += writer->waiting();
    return waiting;
}

void text_store::keep(const std::string& key, std::shared_ptr<const std::string> text)
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
