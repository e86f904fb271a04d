#include "contentscodec.h"

#include "itemcodec.h"
#include "journalcodec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    using google::protobuf::internal::WireFormatLite;
    using google::protobuf::io::CodedInputStream;

    constexpr std::uint32_t acceptedTag = wire::JournalRecord::kAcceptedFieldNumber << 3 | WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
    constexpr std::uint32_t itemTag = wire::JournalBatchAccepted::kItemsFieldNumber << 3 | WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
    constexpr std::uint32_t bodyTag = wire::JournalItem::kBodyFieldNumber << 3 | WireFormatLite::WIRETYPE_LENGTH_DELIMITED;

    std::string varint(std::uint64_t value)
    {
        constexpr std::uint64_t continuationBit = 0x80;
        std::string bytes;
        for (; value >= continuationBit; value >>= 7)
            bytes += static_cast<char>(value | continuationBit);
        bytes += static_cast<char>(value);
        return bytes;
    }

    /// Tag and length of a field with \a size bytes.
    std::string fieldHead(std::uint32_t tag, std::size_t size)
    {
        return varint(tag) + varint(size);
    }

}

std::string encodeContentsBegin(const batch_submission& batch)
{
    batch_submission begin = batch;
    begin.items.clear();
    return encodeJournalRecord(batch_accepted { std::move(begin) });
}

void encodeContentsItem(const batch_item& item, const std::function<void(std::string_view)>& append)
{
    const std::string head = encodeItemWithoutBody(item);
    const std::string bodyHead = fieldHead(bodyTag, item.body.size());
    const std::size_t itemBytes = head.size() + bodyHead.size() + item.body.size();
    const std::string itemHead = fieldHead(itemTag, itemBytes);
    append(fieldHead(acceptedTag, itemHead.size() + itemBytes));
    append(itemHead);
    append(head);
    append(bodyHead);
    append(item.body);
}

std::optional<encoded_item> decodeContentsItem(std::string_view bytes)
{
    CodedInputStream stream(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<int>(bytes.size()));
    std::string others;
    std::string_view body;
    while (stream.CurrentPosition() < static_cast<int>(bytes.size())) {
        const std::size_t begin = static_cast<std::size_t>(stream.CurrentPosition());
        const std::uint32_t tag = stream.ReadTag();
        if (tag == bodyTag) {
            std::uint32_t size = 0;
            if (!stream.ReadVarint32(&size))
                return std::nullopt;
            body = bytes.substr(static_cast<std::size_t>(stream.CurrentPosition()), size);
            if (!stream.Skip(static_cast<int>(size)))
                return std::nullopt;
            continue;
        }
        if (tag == 0 || !WireFormatLite::SkipField(&stream, tag))
            return std::nullopt;
        others += bytes.substr(begin, static_cast<std::size_t>(stream.CurrentPosition()) - begin);
    }
    wire::JournalItem message;
    if (!message.ParseFromString(others))
        return std::nullopt;
    return encoded_item { takeItem(message), body };
}

std::optional<batch_item> takeContentsItem(std::string bytes)
{
    std::optional<encoded_item> decoded = decodeContentsItem(bytes);
    if (!decoded)
        return std::nullopt;
    const std::size_t bodyBegin = decoded->body.empty() ? 0 : static_cast<std::size_t>(decoded->body.data() - bytes.data());
    bytes.resize(bodyBegin + decoded->body.size());
    bytes.erase(0, bodyBegin);
    // A small body is copied, since it would keep all memory of what was around it.
    if (bytes.size() < bytes.capacity() / 2)
        bytes.shrink_to_fit();
    decoded->item.body = std::move(bytes);
    return std::move(decoded->item);
}

contents_reader::contents_reader(item_handler onItem)
    : m_onItem(std::move(onItem))
{
}

bool contents_reader::read(std::string_view piece)
{
    while (!piece.empty()) {
        if (m_pending.empty()) {
            const progress result = readField(piece);
            if (result == progress::Ended)
                return false;
            if (result == progress::Read)
                continue;
            m_pending.reserve(m_needed);
            m_pending = piece;
            return true;
        }
        // Takes no more than the field needs; while its length is not known, a byte at a time.
        const std::size_t missing = m_needed > m_pending.size() ? m_needed - m_pending.size() : 1;
        const std::size_t taken = std::min(missing, piece.size());
        m_pending += piece.substr(0, taken);
        piece.remove_prefix(taken);
        std::string_view field = m_pending;
        const progress result = readField(field);
        if (result == progress::Ended)
            return false;
        if (result == progress::Read)
            std::string().swap(m_pending);
        else
            m_pending.reserve(m_needed);
    }
    return true;
}

contents_reader::progress contents_reader::readField(std::string_view& bytes)
{
    m_needed = 0;
    return m_recordLeft == 0 ? readRecordHead(bytes) : readRecordField(bytes);
}

contents_reader::progress contents_reader::readRecordHead(std::string_view& bytes)
{
    constexpr std::size_t maxHeadBytes = 11;
    CodedInputStream stream(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<int>(bytes.size()));
    const std::uint32_t tag = stream.ReadTag();
    std::uint64_t size = 0;
    if (tag == 0 || !stream.ReadVarint64(&size))
        return bytes.size() < maxHeadBytes ? progress::Incomplete : progress::Ended;
    if (tag != acceptedTag)
        return progress::Ended;
    consume(bytes, static_cast<std::size_t>(stream.CurrentPosition()));
    m_recordLeft = size;
    return progress::Read;
}

contents_reader::progress contents_reader::readRecordField(std::string_view& bytes)
{
    constexpr std::size_t maxHeadBytes = 15;
    CodedInputStream stream(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<int>(bytes.size()));
    const std::uint32_t tag = stream.ReadTag();
    std::uint64_t value = 0;
    if (tag == 0 || !stream.ReadVarint64(&value))
        return bytes.size() < maxHeadBytes ? progress::Incomplete : progress::Ended;
    const std::size_t head = static_cast<std::size_t>(stream.CurrentPosition());
    const WireFormatLite::WireType type = WireFormatLite::GetTagWireType(tag);
    if (type != WireFormatLite::WIRETYPE_VARINT && type != WireFormatLite::WIRETYPE_LENGTH_DELIMITED)
        return progress::Ended;
    const std::uint64_t size = type == WireFormatLite::WIRETYPE_VARINT ? 0 : value;
    if (size > m_recordLeft || head + size > m_recordLeft)
        return progress::Ended;
    if (bytes.size() < head + size) {
        m_needed = head + static_cast<std::size_t>(size);
        return progress::Incomplete;
    }
    m_offset += head;
    const progress result = readText(tag, bytes.substr(head, static_cast<std::size_t>(size)));
    m_offset -= head;
    m_recordLeft -= head + size;
    consume(bytes, head + static_cast<std::size_t>(size));
    return result;
}

contents_reader::progress contents_reader::readText(std::uint32_t tag, std::string_view text)
{
    constexpr std::uint32_t idTag = wire::JournalBatchAccepted::kIdFieldNumber << 3 | WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
    if (tag == idTag)
        m_batch = text;
    if (tag != itemTag)
        return progress::Read;
    return m_onItem(text, m_offset) ? progress::Read : progress::Ended;
}

void contents_reader::consume(std::string_view& bytes, std::size_t count)
{
    m_offset += count;
    bytes.remove_prefix(count);
}

}
