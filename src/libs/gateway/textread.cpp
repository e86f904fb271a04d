#include "textread.h"

#include "newestpages.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Bytes that the key and the framing of a record take in an answer.
    constexpr std::size_t recordOverhead = 256;
    /// Largest answer of the log.
    constexpr std::size_t maxRangeBytes = std::size_t { 1024 } * 1024;

    std::string_view batchPrefixOf(std::string_view key)
    {
        return key.substr(0, key.find('/') + 1);
    }

    std::size_t rangeBytes(const text_reference& reference)
    {
        return reference.bytes + reference.records * recordOverhead;
    }

}

text_store::text_read::text_read(text_store& store, std::vector<text_reference> references,
    std::function<void(const std::optional<text_list>&)> onDone)
    : m_store(store)
    , m_references(std::move(references))
    , m_texts(m_references.size())
    , m_onDone(std::move(onDone))
{
}

void text_store::text_read::start()
{
    for (std::size_t index = 0; index < m_references.size(); ++index) {
        m_texts[index] = m_store.cached(m_references[index].key);
        m_store.m_counters.fromCache += m_texts[index] ? 1U : 0U;
    }
    readNext();
}

void text_store::text_read::readNext()
{
    std::optional<std::size_t> first;
    for (std::size_t index = 0; index < m_references.size(); ++index) {
        if (!m_texts[index] && (!first || m_references[index].offset < m_references[*first].offset))
            first = index;
    }
    if (first)
        readRange(*first);
    else
        finish(true);
}

void text_store::text_read::readRange(std::size_t first)
{
    const text_reference& begin = m_references[first];
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < m_references.size(); ++index) {
        if (!m_texts[index] && m_references[index].partition == begin.partition)
            bytes += rangeBytes(m_references[index]);
    }
    read_range range { begin.offset, {}, std::clamp(bytes, rangeBytes(begin), std::max(maxRangeBytes, rangeBytes(begin))) };
    range.slack = longestAnswerTime;
    m_store.m_log.read(m_store.m_writers.topicPartition(begin.partition), range,
        [self = shared_from_this(), first](const read_outcome& outcome) { self->applyRange(first, outcome); });
}

void text_store::text_read::applyRange(std::size_t first, const read_outcome& outcome)
{
    switch (outcome.status) {
    case read_status::Unavailable:
        finish(false);
        return;
    case read_status::Expired:
        readPages(first);
        return;
    case read_status::Done:
        break;
    }
    const text_reference& begin = m_references[first];
    for (std::size_t index = 0; index < m_references.size(); ++index) {
        const bool isCandidate = !m_texts[index] && m_references[index].partition == begin.partition;
        if (isCandidate && extractText(index, begin.offset, outcome.records))
            ++m_store.m_counters.fromLog;
    }
    if (m_texts[first])
        readNext();
    else
        readPages(first);
}

bool text_store::text_read::extractText(std::size_t index, std::uint64_t from, std::span<const keyed_record> records)
{
    const text_reference& reference = m_references[index];
    if (reference.offset < from || reference.offset - from + reference.records > records.size())
        return false;
    std::string text;
    for (const keyed_record& record : records.subspan(reference.offset - from, reference.records)) {
        if (!record.key.starts_with(reference.key))
            return false;
        text += record.value.value_or("");
    }
    if (text.size() != reference.bytes)
        return false;
    setText(index, std::move(text));
    return true;
}

/// Reads the newest records of the batch of the text \a first, for texts that the history no longer holds.
void text_store::text_read::readPages(std::size_t first)
{
    const text_reference& reference = m_references[first];
    readNewestPages(m_store.m_log, m_store.m_writers.topicPartition(reference.partition), std::string(batchPrefixOf(reference.key)),
        [self = shared_from_this(), first](const newest_records& newest) {
            self->applyPagedTexts(newest.records);
            if (self->m_texts[first])
                self->readNext();
            else
                self->finish(false);
        });
}

void text_store::text_read::applyPagedTexts(std::span<const keyed_record> records)
{
    std::map<std::string_view, std::string_view> values;
    for (const keyed_record& record : records) {
        if (record.value)
            values[record.key] = *record.value;
    }
    for (std::size_t index = 0; index < m_references.size(); ++index) {
        if (m_texts[index])
            continue;
        const text_reference& reference = m_references[index];
        std::string text;
        for (std::uint32_t number = 0; number < reference.records; ++number) {
            const auto found = values.find(chunkKey(reference.key, number));
            if (found != values.end())
                text += found->second;
        }
        if (text.size() != reference.bytes)
            continue;
        ++m_store.m_counters.fromPages;
        setText(index, std::move(text));
    }
}

void text_store::text_read::setText(std::size_t index, std::string text)
{
    m_texts[index] = std::make_shared<const std::string>(std::move(text));
    m_store.cacheText(m_references[index].key, m_texts[index]);
}

void text_store::text_read::finish(bool isComplete)
{
    if (!isComplete)
        ++m_store.m_counters.readFailures;
    m_onDone(isComplete ? std::optional<text_list>(std::move(m_texts)) : std::nullopt);
}

}
