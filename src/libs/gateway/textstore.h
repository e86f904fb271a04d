#pragma once

#include "textread.h"
#include "textrequests.h"
#include "topicwriter.h"

#include <rollout/journalrecord.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Outcome of the write of a text.
struct text_report {
    append_status status = append_status::Unknown;
    /// Where the text is stored; valid only with Done.
    text_reference reference {};
};

/// Store for texts of results and contents of batches, each in log records of its own.
///
/// All daemons need to know that an item has its result, but few need its text, and mostly once. So texts are stored
/// apart from the journal, which refers to them, and are read when a trainer requests them.
///
/// A text that does not fit one append is written in several. It exists for nobody until the journal refers to it, so a writer
/// that ends between them leaves records that nobody reads.
class text_store {
public:
    /// \a writer names this process instance; it is a part of the keys, so no text is ever overwritten.
    text_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, std::string writer);

    using write_handler = std::function<void(const text_report&)>;

    /// Appends \a text under the name \a part, which has to be unique within \a batch.
    void write(std::string_view batch, std::string_view part, std::string text, write_mode mode, write_handler onDone);
    /// The same for a text that is split into \a records already, as splitIntoRecords() does. Each is given up once it is
    /// appended.
    void write(std::string_view batch, std::string_view part, std::vector<std::string> records, write_mode mode, write_handler onDone);
    /// \a onDone gets the texts in the order of \a references, possibly from within the call. Reads of the same texts at
    /// the same time share their requests to the log.
    void read(std::span<const text_reference> references, text_read_options options, text_read::done_handler onDone);
    /// Removes texts from the log.
    void remove(std::span<const text_reference> references);

    /// Writes that are not appended to the log yet.
    std::size_t pendingWrites() const { return m_writers.pendingWrites(); }
    const text_counters& counters() const { return m_requests.counters(); }

private:
    /// Text that is being written, in one append after the other.
    struct text_write {
        text_reference reference;
        /// Empty strings in place of those that are appended.
        std::vector<std::string> records;
        write_mode mode = write_mode::RetryOnRefusal;
        write_handler onDone;
        /// Number of records that are appended.
        std::uint32_t appended = 0;
    };

    void appendNext(const std::shared_ptr<text_write>& write);
    /// Notes the outcome of an append of \a count records.
    void onAppended(const std::shared_ptr<text_write>& write, std::uint32_t count, const append_report& report);
    void removeRecords(const text_reference& reference, std::uint32_t count);
    /// Notes where the records of an append are, and moves them to the cache.
    void takeAppended(text_write& write, std::uint32_t count, std::optional<std::uint64_t> firstOffset);

    boost::asio::io_context& m_context;
    std::string m_writerName;
    topic_writer m_writers;
    text_requests m_requests;
};

}
