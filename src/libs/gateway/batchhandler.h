#pragma once

#include "journal.h"

#include <net/bytebudget.h>
#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/routetable.h>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct batch_counters {
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownOutcome = 0;
    std::uint64_t reads = 0;
    std::uint64_t staleReads = 0;
    /// Reads that were answered with fewer results than fit, since the texts of the others were not read in time.
    std::uint64_t shortenedReads = 0;
    std::uint64_t ended = 0;
};

/// Serves the batch requests of trainers: submitting a batch, listing its results, reading the body of an item, ending it.
///
/// The batches of other organisations do not exist for a caller. Any daemon can answer for any batch from its ledger. It
/// fetches a batch that the journal lists and the ledger lacks. A call on a batch that is not listed waits for a read of
/// the journal that began after the call arrived: only that proves that there is no such batch. A daemon whose ledger may
/// be behind the journal refuses the call with 503, so that the trainer repeats it.
///
/// While the log is slow, a call waits for its batch and its texts until shortly before the caller would leave. A list is
/// then answered with the results whose texts have been read, so each attempt gets further than the one before; it is
/// refused with 503 only when there are results and not one can be given.
class batch_handler {
public:
    batch_handler(journal& journal, const route_table& routes, log& log);

    /// The contents of submissions hold their room in \a budget until they are written; without one they are not counted.
    void setBudget(byte_budget& budget) { m_budget = &budget; }
    /// Writes the submitted batch to the journal and responds with 202 once its record is appended.
    void submit(const http_exchange& exchange, const platform::caller_request& caller);
    /// Serves a call on a batch.
    void answer(const http_exchange& exchange, const platform::caller_request& caller, const platform::batch_call& call);
    /// Answers pending calls on \a batch that can be answered now. To be called after each change of the batch.
    void onChanged(const ledger_batch& batch);
    /// Answers pending calls that can be answered or whose deadline has passed. To be called periodically.
    void tick();

    const batch_counters& counters() const { return m_counters; }

private:
    /// Read of results that waits for results until its deadline.
    struct pending_read {
        http_exchange exchange;
        platform::read_results_call call;
        /// Until this time it waits for results.
        instant waitsUntil {};
        /// Latest time of the answer.
        instant answerBy {};
    };
    /// Call on a batch as it arrived.
    struct received_call {
        http_exchange exchange;
        duration wait {};
        platform::batch_call call;
        std::string batch;
        instant arrivedAt {};
        caller_identity identity;

        /// Latest time of the answer.
        instant answerBy() const;
    };
    class call_visitor;

    /// Whether the batch was submitted by another organisation than that of \a caller.
    bool isForeign(std::string_view batch, const caller_identity& caller) const;
    /// Serves the call once it is known whether its batch exists, or refuses it after a while; false while it has to wait.
    bool tryResolve(const received_call& received);
    void accept(const http_exchange& exchange, batch_submission submission);
    void refuseSize(const http_exchange& exchange, std::string_view batch, std::size_t sharedBytes);
    /// Holds room for the contents of \a submission as long as the result exists.
    std::shared_ptr<held_bytes> holdContents(const batch_submission& submission) const;
    void answerUnknown(const received_call& received);
    void readResults(const pending_read& read);
    void readItem(const received_call& received, const platform::read_item_call& call);
    /// Responds with the body of an item whose contents are stored apart from the journal.
    void readStoredItem(const received_call& received, const ledger_batch& batch, std::size_t item);
    /// The same while it is not known where in the contents of its batch the item is.
    void searchStoredItem(const received_call& received, const ledger_batch& batch, std::size_t item);
    /// Responds with the body in \a contents, or with a refusal when they were not read.
    void respondBody(const http_exchange& exchange, std::string_view batch, const std::optional<item_contents>& contents);
    void endBatch(const http_exchange& exchange, const platform::end_batch_call& call);
    /// Answers \a read if the ledger can answer it now; false when it has to wait.
    bool tryAnswer(const pending_read& read);
    /// Reads the texts of the results from the position of \a read on and responds with them.
    void listResults(const pending_read& read, const ledger_batch& batch);
    /// Responds with the results up to the first one whose text is missing in \a texts, which are those of the results
    /// with a reference, in order.
    void respondResults(const pending_read& read, const text_list& texts);
    /// Answers a read that has waited for results in vain: an empty page if the ledger is up to date, else 503, unless the
    /// batch is being fetched and the caller still waits; false when the read has to wait for that.
    bool tryAnswerAfterWait(const pending_read& read);
    /// Whether the ledger was confirmed recently enough to answer for \a batch.
    bool isUpToDate(std::string_view batch) const;
    /// Refuses a read with 503, since the ledger or the texts are possibly stale or unavailable.
    void refuseStaleRead(const http_exchange& exchange, std::string_view batch, std::string_view reason);
    void logOutcome(std::string_view event, std::string_view batch, std::string_view outcome, std::string_view reason);

    journal& m_journal;
    const route_table& m_routes;
    log& m_log;
    byte_budget* m_budget = nullptr;
    std::list<pending_read> m_pendingReads;
    std::list<received_call> m_unknownBatchCalls;
    batch_counters m_counters;
};

}
