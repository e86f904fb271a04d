#include "batchhandler.h"

#include "bootclock.h"
#include "contentsfetcher.h"
#include "errorresponses.h"
#include "textkeys.h"
#include "textscan.h"

#include <platform/batchcodec.h>
#include <support/log.h>
#include <support/logline.h>
#include <wire/contentscodec.h>

#include <algorithm>
#include <span>

namespace ragwortreach {

namespace {

    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;
    constexpr int badRequestStatus = 400;
    constexpr int notFoundStatus = 404;
    constexpr int timeoutStatus = 504;
    /// A ledger confirmed longer ago may lack records that another daemon has already shown to the trainer.
    constexpr duration maxLedgerAge = std::chrono::milliseconds(850);
    /// Time within which a read of the log has to show whether a batch exists, and to begin to return a batch that does.
    constexpr duration confirmationTime = std::chrono::milliseconds(1000);
    constexpr duration maxWait = std::chrono::milliseconds(1000);
    /// Time that callers wait longer than they allow.
    constexpr duration callerPatience = std::chrono::milliseconds(1500);
    /// By this much an answer leaves before its caller does; an answer of 1 MB takes 0.14 s on a link of 60 Mbit/s.
    constexpr duration answerMargin = std::chrono::milliseconds(300);
    constexpr duration retryDelay = std::chrono::milliseconds(300);

    /// Id of the batch that a call is about; empty for no call.
    class batch_id_visitor {
    public:
        std::string operator()(std::monostate) const { return {}; }
        template <typename call>
        std::string operator()(const call& received) const { return received.batch; }
    };

    http_response jsonAnswer(int status, std::string body)
    {
        return { status, { { "Content-Type", "application/json" } }, std::move(body) };
    }

    /// Why one of the items cannot be stored under its id; empty if all can.
    std::string firstIdFault(std::string_view id, const batch_submission& batch)
    {
        for (const batch_item& item : batch.items) {
            std::string fault = idFault(id, item.id);
            if (!fault.empty())
                return fault;
        }
        return {};
    }

    std::string tooManyItems(std::size_t bytes)
    {
        return "Ids and groups of the items take " + std::to_string(bytes) + " bytes in the log, and " + std::to_string(journal::maxSharedBytes)
            + " are possible; submit fewer items in a batch.";
    }

    http_response bytesAnswer(std::string body)
    {
        return { okStatus, { { "Content-Type", "application/octet-stream" } }, std::move(body) };
    }

}

/// Dispatches a decoded call to its handler function.
class batch_handler::call_visitor {
public:
    call_visitor(batch_handler& handler, const received_call& received)
        : m_handler(handler)
        , m_received(received)
    {
    }

    void operator()(std::monostate) const { m_received.exchange.respond(failureResponse(notFoundStatus, result_code::UnknownRoute, "There is no such call.")); }
    void operator()(const platform::read_results_call& call) const
    {
        m_handler.readResults({ m_received.exchange, call, m_received.arrivedAt + m_received.wait, m_received.answerBy() });
    }
    void operator()(const platform::read_item_call& call) const { m_handler.readItem(m_received, call); }
    void operator()(const platform::end_batch_call& call) const { m_handler.endBatch(m_received.exchange, call); }

private:
    batch_handler& m_handler;
    const received_call& m_received;
};

instant batch_handler::received_call::answerBy() const
{
    return arrivedAt + wait + callerPatience - answerMargin;
}

batch_handler::batch_handler(journal& journal, const route_table& routes, log& log)
    : m_journal(journal)
    , m_routes(routes)
    , m_log(log)
{
}

void batch_handler::submit(const http_exchange& exchange, const platform::caller_request& caller)
{
    if (isForeign(caller.id, caller.identity)) {
        exchange.respond(failureResponse(result_code::BatchConflict, "The id of the batch is in use; submit the batch under another id."));
        return;
    }
    if (m_journal.isListed(caller.id)) {
        ++m_counters.repeated;
        exchange.respond(jsonAnswer(acceptedStatus, "{}"));
        return;
    }
    platform::decoded_submission decoded = platform::decodeSubmission(exchange.takeBody(), journal::maxSharedBytes);
    if (decoded.batch)
        decoded.detail = firstIdFault(caller.id, *decoded.batch);
    if (decoded.excessiveBytes != 0) {
        refuseSize(exchange, caller.id, decoded.excessiveBytes);
        return;
    }
    if (!decoded.batch || !decoded.detail.empty() || caller.id.empty()) {
        logOutcome("batch_submitted", caller.id, "rejected", decoded.detail);
        exchange.respond(failureResponse(badRequestStatus, result_code::MalformedRequest, decoded.detail));
        return;
    }
    batch_submission& submission = *decoded.batch;
    submission.id = caller.id;
    submission.host = caller.host;
    submission.configuration = m_routes.version();
    submission.organisation = caller.identity.organisation;
    const std::size_t sharedBytes = journal::sharedBytes(submission);
    if (sharedBytes > journal::maxSharedBytes) {
        refuseSize(exchange, caller.id, sharedBytes);
        return;
    }
    exchange.releaseBody();
    accept(exchange, std::move(submission));
}

/// All daemons have to read \a sharedBytes of the batch, which are too many.
void batch_handler::refuseSize(const http_exchange& exchange, std::string_view batch, std::size_t sharedBytes)
{
    logOutcome("batch_submitted", batch, "rejected", "too many items");
    exchange.respond(failureResponse(result_code::BodyTooLarge, tooManyItems(sharedBytes)));
}

std::shared_ptr<held_bytes> batch_handler::holdContents(const batch_submission& submission) const
{
    if (!m_budget)
        return nullptr;
    std::size_t bytes = 0;
    for (const batch_item& item : submission.items)
        bytes += item.body.size() + (item.reward ? item.reward->body.size() : 0);
    std::shared_ptr<held_bytes> held = std::make_shared<held_bytes>(*m_budget);
    held->set(bytes);
    return held;
}

/// Writes the acceptance of a batch and answers with its outcome.
void batch_handler::accept(const http_exchange& exchange, batch_submission submission)
{
    const std::string id = submission.id;
    const std::shared_ptr<held_bytes> held = holdContents(submission);
    m_journal.write(batch_accepted { std::move(submission) }, write_mode::FailOnRefusal, [this, exchange, id, held](const append_report& report) {
        switch (report.status) {
        case append_status::Done:
            ++m_counters.accepted;
            logOutcome("batch_submitted", id, "accepted", "");
            exchange.respond(jsonAnswer(acceptedStatus, "{}"));
            return;
        case append_status::Refused:
        case append_status::Unacceptable:
            ++m_counters.refused;
            logOutcome("batch_submitted", id, "refused", "the log refuses records");
            exchange.respond(refusalResponse(result_code::LogUnavailable, "The log refuses records at the moment; retry later.", retryDelay));
            return;
        case append_status::Unknown:
        case append_status::Fenced:
        case append_status::WrongSequence:
            ++m_counters.unknownOutcome;
            logOutcome("batch_submitted", id, "unknown", "the log did not answer");
            exchange.respond(failureResponse(timeoutStatus, result_code::AppendUnknown, "The log did not answer; send the batch again."));
            return;
        }
    });
}

void batch_handler::answer(const http_exchange& exchange, const platform::caller_request& caller, const platform::batch_call& call)
{
    const received_call received { exchange, std::clamp(caller.wait, duration::zero(), maxWait), call, std::visit(batch_id_visitor(), call), bootNow(), caller.identity };
    if (!tryResolve(received))
        m_unknownBatchCalls.push_back(received);
}

/// Batches that were accepted while the configuration had no organisations are open to all.
bool batch_handler::isForeign(std::string_view batch, const caller_identity& caller) const
{
    const batch_listed* const listing = m_journal.listing(batch);
    return listing && listing->organisation && caller.organisation && *listing->organisation != *caller.organisation;
}

bool batch_handler::tryResolve(const received_call& received)
{
    const bool isListed = m_journal.isListed(received.batch) && !isForeign(received.batch, received.identity);
    const bool needsRecords = !std::holds_alternative<platform::end_batch_call>(received.call);
    if (isListed && (m_journal.ledger().find(received.batch) || !needsRecords)) {
        std::visit(call_visitor(*this, received), received.call);
        return true;
    }
    if (isListed) {
        m_journal.fetch(received.batch);
    } else if (m_journal.isReady() && m_journal.confirmedAt(received.batch) >= received.arrivedAt) {
        answerUnknown(received);
        return true;
    }
    // A request that fails is sent again for a while; one that is under way is worth waiting for.
    const bool isFetching = isListed && m_journal.isFetching(received.batch);
    if (bootNow() < (isFetching ? received.answerBy() : received.arrivedAt + confirmationTime))
        return false;
    refuseStaleRead(received.exchange, received.batch, isListed ? "the batch cannot be read from the log" : "the ledger is behind the log");
    return true;
}

/// Answers a call on a batch that the log does not have. An end is written first, since the acceptance may still take
/// effect.
void batch_handler::answerUnknown(const received_call& received)
{
    const http_response answer = failureResponse(notFoundStatus, result_code::UnknownBatch, "There is no such batch.");
    const bool isUnlisted = !m_journal.isListed(received.batch);
    if (!isUnlisted || !std::holds_alternative<platform::end_batch_call>(received.call) || m_journal.isEnded(received.batch)) {
        received.exchange.respond(answer);
        return;
    }
    m_journal.write(batch_ended { received.batch }, write_mode::RetryOnRefusal, [this, exchange = received.exchange, id = received.batch, answer](const append_report&) {
        logOutcome("batch_ended", id, "unknown", "the batch is not in the log");
        exchange.respond(answer);
    });
}

bool batch_handler::isUpToDate(std::string_view batch) const
{
    return m_journal.isFollowed(batch) && bootNow() - m_journal.confirmedAt(batch) < maxLedgerAge;
}

void batch_handler::readResults(const pending_read& read)
{
    ++m_counters.reads;
    if (!tryAnswer(read))
        m_pendingReads.push_back(read);
}

bool batch_handler::tryAnswer(const pending_read& read)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (!batch)
        return false;
    const bool isAllListed = batch->results.size() == batch->items.size();
    if (read.call.position >= batch->results.size() && !isAllListed) {
        m_journal.fetch(read.call.batch);
        return false;
    }
    listResults(read, *batch);
    return true;
}

void batch_handler::listResults(const pending_read& read, const ledger_batch& batch)
{
    std::vector<text_reference> references;
    for (const ledger_result& result : batch.page(read.call.position, platform::maxResultBytes)) {
        if (result.reference)
            references.push_back(*result.reference);
    }
    text_read_options options { read.answerBy, [exchange = read.exchange] { return exchange.isOpen(); } };
    m_journal.texts().read(references, std::move(options), [this, read](const text_outcome& outcome) {
        if (read.exchange.isOpen())
            respondResults(read, outcome.texts);
    });
}

/// Results that arrived while the texts were read are left out.
void batch_handler::respondResults(const pending_read& read, const text_list& texts)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (!batch) {
        refuseStaleRead(read.exchange, read.call.batch, "the batch was removed from the ledger");
        return;
    }
    const std::span<const ledger_result> page = batch->page(read.call.position, platform::maxResultBytes);
    std::vector<platform::listed_result> results;
    text_list::const_iterator next = texts.begin();
    for (const ledger_result& result : page) {
        if (result.reference && (next == texts.end() || !*next))
            break;
        const std::string_view text = result.reference ? std::string_view(**next++) : std::string_view(result.output.text);
        results.push_back({ batch->submission.items[result.item].id, result.isCompleted, text, result.output.versions, result.reward });
    }
    if (results.empty() && !page.empty()) {
        refuseStaleRead(read.exchange, read.call.batch, "the texts cannot be read from the log");
        return;
    }
    m_counters.shortenedReads += next != texts.end() ? 1U : 0U;
    read.exchange.respond(jsonAnswer(okStatus, platform::encodeResults(batch->items.size(), read.call.position, results)));
}

bool batch_handler::tryAnswerAfterWait(const pending_read& read)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (batch && isUpToDate(read.call.batch)) {
        listResults(read, *batch);
        return true;
    }
    if (m_journal.isFetching(read.call.batch) && bootNow() < read.answerBy)
        return false;
    refuseStaleRead(read.exchange, read.call.batch, "the ledger is behind the log");
    return true;
}

void batch_handler::refuseStaleRead(const http_exchange& exchange, std::string_view batch, std::string_view reason)
{
    ++m_counters.staleReads;
    logOutcome("batch_read", batch, "refused", reason);
    exchange.respond(refusalResponse(result_code::LogUnavailable, "The state of this daemon is possibly stale; retry later.", retryDelay));
}

void batch_handler::readItem(const received_call& received, const platform::read_item_call& call)
{
    const ledger_batch* const batch = m_journal.ledger().find(call.batch);
    const std::optional<std::size_t> index = batch ? batch->indexOf(call.item) : std::nullopt;
    if (!index) {
        received.exchange.respond(failureResponse(notFoundStatus, result_code::UnknownBatch, "There is no such item."));
        return;
    }
    if (!batch->hasStoredContents())
        received.exchange.respond(bytesAnswer(batch->submission.items[*index].body));
    else if (batch->isLoaded)
        readStoredItem(received, *batch, *index);
    else
        searchStoredItem(received, *batch, *index);
}

void batch_handler::readStoredItem(const received_call& received, const ledger_batch& batch, std::size_t item)
{
    text_read_options options { received.answerBy(), [exchange = received.exchange] { return exchange.isOpen(); } };
    readContents(m_journal.texts(), batch, item, std::move(options), [this, exchange = received.exchange, id = batch.submission.id](const std::optional<item_contents>& contents) { respondBody(exchange, id, contents); });
}

void batch_handler::searchStoredItem(const received_call& received, const ledger_batch& batch, std::size_t item)
{
    const std::shared_ptr<std::optional<item_contents>> found = std::make_shared<std::optional<item_contents>>();
    const std::shared_ptr<contents_reader> reader = std::make_shared<contents_reader>([found, left = item](std::string_view bytes, std::uint64_t) mutable {
        if (left-- != 0)
            return true;
        std::optional<batch_item> decoded = takeContentsItem(std::string(bytes));
        if (decoded)
            *found = takeContents(*decoded);
        return false;
    });
    text_scan::handlers handlers;
    handlers.onPiece = [reader](std::string_view piece) { return reader->read(piece); };
    handlers.onDone = [this, found, exchange = received.exchange, id = batch.submission.id](scan_end) { respondBody(exchange, id, *found); };
    text_read_options options { received.answerBy(), [exchange = received.exchange] { return exchange.isOpen(); } };
    std::make_shared<text_scan>(m_journal.texts(), *batch.submission.contents, std::move(options), std::move(handlers))->start();
}

void batch_handler::respondBody(const http_exchange& exchange, std::string_view batch, const std::optional<item_contents>& contents)
{
    if (!exchange.isOpen())
        return;
    if (contents)
        exchange.respond(bytesAnswer(std::string(contents->body.view())));
    else
        refuseStaleRead(exchange, batch, "the contents of the batch cannot be read from the log");
}

void batch_handler::endBatch(const http_exchange& exchange, const platform::end_batch_call& call)
{
    if (m_journal.isEnded(call.batch)) {
        exchange.respond(jsonAnswer(okStatus, "{}"));
        return;
    }
    m_journal.write(batch_ended { call.batch }, write_mode::RetryOnRefusal, [this, exchange, id = call.batch](const append_report&) {
        ++m_counters.ended;
        logOutcome("batch_ended", id, "done", "");
        exchange.respond(jsonAnswer(okStatus, "{}"));
    });
}

void batch_handler::onChanged(const ledger_batch& batch)
{
    const std::string& id = batch.submission.id;
    std::erase_if(m_unknownBatchCalls, [this, &id](const received_call& waiting) { return waiting.batch == id && tryResolve(waiting); });
    std::erase_if(m_pendingReads, [this, &id](const pending_read& read) { return read.call.batch == id && tryAnswer(read); });
}

void batch_handler::tick()
{
    std::erase_if(m_unknownBatchCalls, [this](const received_call& waiting) { return !waiting.exchange.isOpen() || tryResolve(waiting); });
    const instant now = bootNow();
    std::erase_if(m_pendingReads, [this, now](const pending_read& read) {
        if (!read.exchange.isOpen() || tryAnswer(read))
            return true;
        return now >= read.waitsUntil && tryAnswerAfterWait(read);
    });
}

void batch_handler::logOutcome(std::string_view event, std::string_view batch, std::string_view outcome, std::string_view reason)
{
    const duration age = bootNow() - m_journal.confirmedAt(batch);
    m_log.write(log_line(log_level::Info, event)
                    .with("batch", batch)
                    .with("outcome", outcome)
                    .with("reason", reason)
                    .with("ledger_age_us", age.count())
                    .with("configuration", m_routes.version()));
}

}
