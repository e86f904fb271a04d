#pragma once

#include "textcache.h"
#include "topicwriter.h"

#include <core/instant.h>
#include <rollout/journalrecord.h>
#include <rollout/sharedlog.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Counts since the start of the process.
struct text_counters {
    std::uint64_t written = 0;
    std::uint64_t fromCache = 0;
    std::uint64_t fromLog = 0;
    /// Texts read from the pages of newest records, since the history no longer held them.
    std::uint64_t fromPages = 0;
    /// Reads that did not get all their texts.
    std::uint64_t readFailures = 0;
    /// Requests to the log for records by their offsets, and the bytes that they asked for.
    std::uint64_t rangeRequests = 0;
    std::uint64_t rangeBytes = 0;
    /// Requests to the log for pages of newest records, and the bytes of keys and values that they returned.
    std::uint64_t pageRequests = 0;
    std::uint64_t pageBytes = 0;
    /// Requests of both kinds without an answer in time.
    std::uint64_t failedRequests = 0;
    /// Times that a read waited for the request of another one in place of sending its own.
    std::uint64_t sharedRequests = 0;
};

/// Request for the records from an offset on.
struct range_request {
    std::uint64_t from = 0;
    std::size_t bytes = 0;
};

/// Request for a page of the newest records of a batch whose keys come after \c after.
struct page_request {
    std::string after;
};

/// Request of texts to the log.
struct text_request {
    std::uint32_t partition = 0;
    /// Keys of the texts that it is to return; there may be more than fit one answer.
    std::set<std::string, std::less<>> textKeys;
    std::variant<range_request, page_request> kind;
};

/// Outcome of a request.
struct text_answer {
    instant sentAt {};
    /// False when the log did not answer.
    bool isAnswered = false;
    /// Whether the records were read from a page.
    bool isPage = false;
    /// The texts of one batch that were asked for.
    std::uint32_t partition = 0;
    std::string batchPrefix;
    /// For a range, the offsets that were read; empty when the history no longer holds them.
    std::uint64_t firstOffset = 0;
    std::uint64_t endOffset = 0;
    /// For a page, the keys that it covers lie after the first one and up to the last one, which is empty for a page that
    /// goes to the end of the batch.
    std::string afterKey;
    std::string lastKey;
    /// By their keys.
    std::map<std::string_view, std::shared_ptr<const std::string>> chunks;

    /// Whether it would have the record of a text of the batch that is at \a offset, or has the \a key.
    bool coversOffset(std::uint64_t offset) const { return !isPage && offset >= firstOffset && offset < endOffset; }
    bool coversKey(std::string_view key) const { return isPage && key > afterKey && (lastKey.empty() || key <= lastKey); }
};

/// Sends the requests of all reads of a text_store, and shares each with all reads that need one of its texts.
///
/// Has to outlive the handlers of the requests, but for the end of the process.
class text_requests {
public:
    using answer_handler = std::function<void(const text_answer&)>;

    text_requests(shared_log& log, const topic_writer& topic, std::size_t maxCacheBytes);

    /// Calls \a onAnswer with the answer to a request under way that is to return the text \a textKey; false if there is none.
    bool join(std::string_view textKey, const answer_handler& onAnswer);
    /// The records in the answer are added to the cache, whoever waits for them by then.
    void send(text_request request, answer_handler onAnswer);
    /// Whether the history is known to hold the record at \a offset no longer.
    bool isExpired(std::uint32_t partition, std::uint64_t offset) const;

    text_cache& cache() { return m_cache; }
    text_counters& counters() { return m_counters; }
    const text_counters& counters() const { return m_counters; }

private:
    class sender;
    struct pending_request {
        text_request request;
        instant sentAt {};
        std::vector<answer_handler> handlers;
    };
    using pending_iterator = std::list<pending_request>::iterator;

    void sendRange(pending_iterator pending, const range_request& range);
    void sendPage(pending_iterator pending, const page_request& page);
    void applyRange(pending_iterator pending, const range_request& range, const read_outcome& outcome);
    void applyPage(pending_iterator pending, const page_request& page, const newest_outcome& outcome);
    void takePage(text_answer& answer, const text_request& request, const newest_outcome& outcome);
    /// Answer to \a pending without its records.
    static text_answer emptyAnswer(const pending_request& pending);
    /// Adds the records of the batch to \a answer, and to the cache those of texts that were asked for. All records of a
    /// page are cached: they have been paid for, and are likely to be listed next.
    void takeRecords(text_answer& answer, const text_request& request, std::span<const keyed_record> records);
    void finish(pending_iterator pending, const text_answer& answer);

    shared_log& m_log;
    const topic_writer& m_topic;
    text_cache m_cache;
    text_counters m_counters;
    std::list<pending_request> m_pending;
    /// Offsets before this one are no longer in the history, by partition.
    std::map<std::uint32_t, std::uint64_t> m_expiredBefore;
};

}
