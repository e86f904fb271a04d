#pragma once

#include "topicwriter.h"

#include <rollout/journalrecord.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Counts since the start of the process.
struct text_counters {
    std::uint64_t written = 0;
    std::uint64_t fromCache = 0;
    std::uint64_t fromLog = 0;
    /// Texts read from the pages of newest records, since the history no longer held them.
    std::uint64_t fromPages = 0;
    std::uint64_t readFailures = 0;
};

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
class text_store {
public:
    using text_list = std::vector<std::shared_ptr<const std::string>>;

    /// \a writer names this process instance; it is a part of the keys, so no text is ever overwritten.
    text_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, std::string writer);
    ~text_store();

    using write_handler = std::function<void(const text_report&)>;

    /// Appends \a text under the name \a part, which has to be unique within \a batch.
    void write(std::string_view batch, std::string_view part, std::string text, write_mode mode, write_handler onDone);
    /// \a onDone gets the texts in the order of \a references, or nothing when the log does not answer.
    void read(std::vector<text_reference> references, std::function<void(const std::optional<text_list>&)> onDone);
    /// Removes texts from the log.
    void remove(std::span<const text_reference> references);

    /// Writes that are not appended to the log yet.
    std::size_t pendingWrites() const { return m_writers.pendingWrites(); }
    const text_counters& counters() const { return m_counters; }

private:
    class text_read;

    static std::string chunkKey(const std::string& key, std::uint32_t number);
    void append(text_reference reference, std::shared_ptr<const std::string> text, write_mode mode, write_handler onDone);
    /// Adds \a text to the cache and evicts the least recently used texts over its limit.
    void cacheText(const std::string& key, std::shared_ptr<const std::string> text);
    std::shared_ptr<const std::string> cached(const std::string& key);

    struct cache_entry {
        std::string key;
        std::shared_ptr<const std::string> text;
    };

    shared_log& m_log;
    std::string m_writerName;
    topic_writer m_writers;
    /// Most recently used first.
    std::list<cache_entry> m_cache;
    std::map<std::string, std::list<cache_entry>::iterator, std::less<>> m_cacheIndex;
    std::size_t m_cacheBytes = 0;
    text_counters m_counters;
};

}
