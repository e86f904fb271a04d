#pragma once

#include "journal.h"

#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/routetable.h>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <string>

namespace ragwortreach {

class log;

/// Sums since the start of the process.
struct batch_counters {
    std::uint64_t accepted = 0;
    std::uint64_t repeated = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownOutcome = 0;
    std::uint64_t reads = 0;
    std::uint64_t staleReads = 0;
    std::uint64_t ended = 0;
};

/// Answers trainers: takes batches, lists results, hands out bodies, ends batches.
///
/// Any daemon answers for any batch from its ledger. One that may be behind the journal says that it is not sure.
class batch_handler {
public:
    batch_handler(journal& journal, const route_table& routes, log& log);

    void submit(const http_exchange& exchange, const platform::caller_request& caller);
    void answer(const http_exchange& exchange, const platform::caller_request& caller, const platform::batch_call& call);
    /// Answers the reads that wait for \a batch.
    void onChanged(const ledger_batch& batch);
    /// Answers the reads that have waited long enough.
    void tick();

    const batch_counters& counters() const { return m_counters; }

private:
    struct pending_read {
        http_exchange exchange;
        platform::read_results_call call;
        instant arrivedAt {};
        instant deadline {};
    };
    class call_visitor;

    void readResults(const http_exchange& exchange, const platform::caller_request& caller, const platform::read_results_call& call);
    void readItem(const http_exchange& exchange, const platform::read_item_call& call);
    /// Answers with the body of an item whose batch is not loaded here.
    void readStoredItem(const http_exchange& exchange, const platform::read_item_call& call, const text_reference& contents);
    void endBatch(const http_exchange& exchange, const platform::end_batch_call& call);
    bool tryAnswer(const pending_read& read);
    /// Lists the results from the position on, once their texts are there.
    void listResults(const pending_read& read, const ledger_batch& batch);
    void respondResults(const pending_read& read, const text_store::text_list& texts);
    void answerAfterWait(const pending_read& read);
    bool isUpToDate(std::string_view batch) const;
    void refuseStaleRead(const http_exchange& exchange, std::string_view batch, std::string_view reason);
    void logOutcome(std::string_view event, std::string_view batch, std::string_view outcome, std::string_view reason);

    journal& m_journal;
    const route_table& m_routes;
    log& m_log;
    std::list<pending_read> m_pendingReads;
    batch_counters m_counters;
};

}
