#pragma once

#include "textstore.h"

#include <functional>
#include <memory>
#include <string_view>

namespace ragwortreach {

/// How a scan of a text ended.
enum class scan_end {
    /// All records were passed on.
    Whole,
    /// The handler wanted no more.
    Stopped,
    /// The log did not answer in time, or does not have a record.
    Unread,
};

/// Records of a text, by their numbers.
struct record_range {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

/// Records of \a text that have its bytes from \a offset on.
record_range recordsOf(std::uint64_t offset, std::uint64_t bytes);

/// Reads records of a text in order, the records of one append at a time, so that a large text is never in memory as a whole.
/// Keeps itself alive while a read is under way.
class text_scan : public std::enable_shared_from_this<text_scan> {
public:
    struct handlers {
        /// Gets the bytes of the text in order; false ends the scan.
        std::function<bool(std::string_view)> onPiece;
        /// Called last, once, possibly from within start().
        std::function<void(scan_end)> onDone;
    };

    text_scan(text_store& texts, text_reference text, record_range range, text_read_options options, handlers handlers);
    /// Reads the whole text.
    text_scan(text_store& texts, const text_reference& text, text_read_options options, handlers handlers);

    void start() { readNext(); }

private:
    void readNext();
    /// Reference of the next records.
    text_reference nextPart() const;
    void onRead(std::uint32_t records, const text_outcome& outcome);

    text_store& m_texts;
    text_reference m_text;
    std::uint32_t m_next;
    std::uint32_t m_end;
    text_read_options m_options;
    handlers m_handlers;
};

}
