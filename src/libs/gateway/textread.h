#pragma once

#include "bootclock.h"
#include "textrequests.h"

#include <rollout/journalrecord.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Texts in the order in which they were asked for.
using text_list = std::vector<std::shared_ptr<const std::string>>;

struct text_outcome {
    /// Null for a text that could not be read in time.
    text_list texts;
    /// Whether no text is null.
    bool isComplete = false;
};

/// Bounds of a read of texts.
struct text_read_options {
    /// At this time the read is answered with the texts that it has by then.
    instant deadline = instant::max();
    /// Whether somebody still waits for the texts; no further request is sent once it returns false. Empty for always.
    std::function<bool()> isWanted {};
};

/// One read of texts by a text_store. Takes texts from the cache, then reads by offset, then, for records that the history
/// of the log no longer holds, from the pages of newest records. Pages are also read when the texts are so scattered over
/// the history that they would need many reads by offset.
///
/// It is answered with the texts that it has at its deadline, and after a request that failed. A request that is under way
/// then is finished for the cache. Keeps itself alive while a request is under way.
class text_read : public std::enable_shared_from_this<text_read> {
public:
    using done_handler = std::function<void(const text_outcome&)>;

    text_read(boost::asio::io_context& context, text_requests& requests, std::span<const text_reference> references, text_read_options options, done_handler onDone);

    /// Takes the texts that are in the cache and reads the others.
    void start();

private:
    struct wanted_text {
        text_reference reference;
        /// Records of the text by their numbers; null while they are missing.
        std::vector<std::shared_ptr<const std::string>> chunks;
        std::shared_ptr<const std::string> text;
        /// The record at its offset is not the one of the text.
        bool isMisplaced = false;
        /// The log does not have it.
        bool isAbsent = false;

        bool isMissing() const { return !text && !isAbsent; }
        std::uint32_t firstMissingChunk() const;
        std::uint32_t recordNumber(std::uint32_t chunk) const { return reference.firstRecord + chunk; }
        std::string chunkKeyOf(std::uint32_t chunk) const;
        std::uint64_t beginOffset() const { return reference.offsetOf(reference.firstRecord); }
        std::uint64_t firstMissingOffset() const { return reference.offsetOf(recordNumber(firstMissingChunk())); }
        std::uint64_t endOffset() const { return reference.offsetOf(recordNumber(reference.records - 1)) + 1; }
        /// Joins the chunks to the text once all are there.
        void complete();
    };

    /// Asks for the missing text with the lowest offset, or finishes when none can be read any more.
    void readNext();
    const wanted_text* firstMissing() const;
    /// Whether \a candidate can only be read from a page.
    bool needsPage(const wanted_text& candidate) const;
    /// Missing texts of the batch of \a first that are read in the same way, in the order of their offsets.
    std::vector<const wanted_text*> missingLike(const wanted_text& first) const;
    /// Request for the \a wanted texts, or for some of them that begin with the first one.
    text_request requestFor(std::span<const wanted_text* const> wanted) const;
    static std::vector<std::size_t> denseRuns(std::span<const wanted_text* const> wanted);
    /// Request for a page from the first missing record of the \a wanted texts on.
    static text_request pageFor(std::span<const wanted_text* const> wanted);
    static text_request rangeFor(std::span<const wanted_text* const> wanted);
    void applyAnswer(const text_answer& answer);
    void takeChunks(const text_answer& answer);
    /// Notes which texts are not where the request that was answered has read.
    void noteUnfound(const text_answer& answer);
    void startTimer();
    void finish();

    boot_timer m_timer;
    text_requests& m_requests;
    std::vector<wanted_text> m_wanted;
    text_read_options m_options;
    done_handler m_onDone;
    instant m_startedAt {};
    bool m_isFinished = false;
};

}
