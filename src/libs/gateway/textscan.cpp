#include "textscan.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr std::uint32_t recordsPerRead = maxAppendBytes / maxRecordBytes;

    std::uint32_t recordAt(std::uint64_t offset)
    {
        return static_cast<std::uint32_t>(offset / maxRecordBytes);
    }

    /// Bytes of a text before \a record.
    std::uint64_t bytesBefore(const text_reference& text, std::uint32_t record)
    {
        return std::min<std::uint64_t>(text.bytes, std::uint64_t { record } * maxRecordBytes);
    }

}

record_range recordsOf(std::uint64_t offset, std::uint64_t bytes)
{
    const std::uint32_t first = recordAt(offset);
    return { first, bytes == 0 ? 1 : recordAt(offset + bytes - 1) - first + 1 };
}

text_scan::text_scan(text_store& texts, text_reference text, record_range range, text_read_options options, handlers handlers)
    : m_texts(texts)
    , m_text(std::move(text))
    , m_next(range.first)
    , m_end(range.first + range.count)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
{
}

text_scan::text_scan(text_store& texts, const text_reference& text, text_read_options options, handlers handlers)
    : text_scan(texts, text, { 0, text.records }, std::move(options), std::move(handlers))
{
}

text_reference text_scan::nextPart() const
{
    text_reference part = m_text;
    part.firstRecord = m_next;
    // Records of two appends may lie far apart.
    part.records = std::min(m_end - m_next, recordsPerRead - m_next % recordsPerRead);
    part.bytes = bytesBefore(m_text, m_next + part.records) - bytesBefore(m_text, m_next);
    return part;
}

void text_scan::readNext()
{
    if (m_next >= m_end) {
        std::exchange(m_handlers, {}).onDone(scan_end::Whole);
        return;
    }
    const text_reference part = nextPart();
    m_texts.read(std::span(&part, 1), m_options, [self = shared_from_this(), records = part.records](const text_outcome& outcome) { self->onRead(records, outcome); });
}

void text_scan::onRead(std::uint32_t records, const text_outcome& outcome)
{
    if (!outcome.isComplete) {
        std::exchange(m_handlers, {}).onDone(scan_end::Unread);
        return;
    }
    if (!m_handlers.onPiece(*outcome.texts.front())) {
        std::exchange(m_handlers, {}).onDone(scan_end::Stopped);
        return;
    }
    m_next += records;
    readNext();
}

}
