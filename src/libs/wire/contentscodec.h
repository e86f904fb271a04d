#pragma once

#include <rollout/journalrecord.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Encodes the contents of a batch: its acceptance record, in parts. The parts together can also be decoded as one record, as
/// releases do that know no parts.
///
/// \return everything but the items.
std::string encodeContentsBegin(const batch_submission& batch);
/// Encodes the contents of \a item, to be put after what was encoded before. \a append gets the bytes piece by piece, so that
/// no copy of a large body is made.
void encodeContentsItem(const batch_item& item, const std::function<void(std::string_view)>& append);

/// An item of contents whose body has not been copied.
struct encoded_item {
    /// The item without its body.
    batch_item item;
    /// Refers to the bytes that were decoded.
    std::string_view body;
};

/// Decodes an item of contents; nothing when it is malformed.
std::optional<encoded_item> decodeContentsItem(std::string_view bytes);
/// The same with its body, which is moved out of \a bytes and not copied.
std::optional<batch_item> takeContentsItem(std::string bytes);

/// Finds the items in the contents of a batch, which it gets piece by piece. Holds the bytes of one item at most.
class contents_reader {
public:
    /// Called with each encoded item and its location within the contents; false ends the reading.
    using item_handler = std::function<bool(std::string_view bytes, std::uint64_t offset)>;

    explicit contents_reader(item_handler onItem);

    /// Reads the next \a piece; false when the contents are malformed or the handler has ended the reading.
    bool read(std::string_view piece);
    /// Whether the contents may end here.
    bool isAtEnd() const { return m_pending.empty() && m_recordLeft == 0; }
    /// Memory of what has been read of an item that is not complete.
    std::size_t pendingBytes() const { return m_pending.capacity(); }
    /// Id of the batch, once it has been read.
    const std::string& batch() const { return m_batch; }

private:
    /// Result of an attempt to read a field.
    enum class progress {
        Read,
        /// The field has not arrived as a whole.
        Incomplete,
        /// The field is malformed, or the handler has ended the reading.
        Ended,
    };

    progress readField(std::string_view& bytes);
    progress readRecordHead(std::string_view& bytes);
    progress readRecordField(std::string_view& bytes);
    progress readText(std::uint32_t tag, std::string_view text);
    void consume(std::string_view& bytes, std::size_t count);

    item_handler m_onItem;
    std::string m_batch;
    /// Begin of a field that has not arrived as a whole.
    std::string m_pending;
    /// Bytes that the field in m_pending needs, as far as is known.
    std::size_t m_needed = 0;
    /// Bytes before those that are read next.
    std::uint64_t m_offset = 0;
    /// Bytes of the record that have not been read.
    std::uint64_t m_recordLeft = 0;
};

}
