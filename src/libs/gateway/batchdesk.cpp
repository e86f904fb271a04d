#include "batchdesk.h"

#include "answers.h"
#include "bootclock.h"

#include <platform/batchcodec.h>
#include <support/log.h>
#include <support/logline.h>

namespace ragwortreach {

namespace {

    constexpr int okStatus = 200;
    constexpr int acceptedStatus = 202;
    constexpr int badRequestStatus = 400;
    constexpr int notFoundStatus = 404;
    constexpr int timeoutStatus = 504;
    /// A ledger that was confirmed longer ago may lack what another daemon has shown already.
    constexpr duration maxAge = std::chrono::milliseconds(850);
    /// Time until a read of the log has shown whether there is a batch.
    constexpr duration confirmTime = std::chrono::milliseconds(1000);
    constexpr duration maxWait = std::chrono::milliseconds(1000);
    constexpr duration comeBackAfter = std::chrono::milliseconds(300);

    http_response jsonAnswer(int status, std::string body)
    {
        return { status, { { "Content-Type", "application/json" } }, std::move(body) };
    }

    http_response bytesAnswer(std::string body)
    {
        return { okStatus, { { "Content-Type", "application/octet-stream" } }, std::move(body) };
    }

}

class batch_desk::call_visitor {
public:
    call_visitor(batch_desk& desk, const http_exchange& exchange, const platform::caller_request& caller)
        : m_desk(desk)
        , m_exchange(exchange)
        , m_caller(caller)
    {
    }

    void operator()(std::monostate) const { m_exchange.respond(failure(notFoundStatus, result_code::UnknownRoute, "no such call")); }
    void operator()(const platform::read_results_call& call) const { m_desk.readResults(m_exchange, m_caller, call); }
    void operator()(const platform::read_item_call& call) const { m_desk.readItem(m_exchange, call); }
    void operator()(const platform::end_batch_call& call) const { m_desk.endBatch(m_exchange, call); }

private:
    batch_desk& m_desk;
    const http_exchange& m_exchange;
    const platform::caller_request& m_caller;
};

batch_desk::batch_desk(journal& journal, const route_table& routes, log& log)
    : m_journal(journal)
    , m_routes(routes)
    , m_log(log)
{
}

void batch_desk::submit(const http_exchange& exchange, const platform::caller_request& caller)
{
    if (m_journal.ledger().find(caller.id)) {
        ++m_counters.repeated;
        exchange.respond(jsonAnswer(acceptedStatus, "{}"));
        return;
    }
    std::string detail;
    std::optional<batch_submission> submission = platform::decodeSubmission(exchange.request().body, detail);
    if (!submission || caller.id.empty()) {
        writeLine("batch_submitted", caller.id, "rejected", detail);
        exchange.respond(failure(badRequestStatus, result_code::MalformedRequest, detail));
        return;
    }
    submission->id = caller.id;
    submission->host = caller.host;
    const std::string id = caller.id;
    m_journal.write(batch_accepted { std::move(*submission) }, write_mode::OneTry, [this, exchange, id](const append_report& report) {
        switch (report.status) {
        case append_status::Done:
            ++m_counters.accepted;
            writeLine("batch_submitted", id, "accepted", "");
            exchange.respond(jsonAnswer(acceptedStatus, "{}"));
            return;
        case append_status::Refused:
            ++m_counters.refused;
            writeLine("batch_submitted", id, "refused", "the log takes no records");
            exchange.respond(refusal(result_code::LogUnavailable, "The log takes no records now.", comeBackAfter));
            return;
        case append_status::Unknown:
        case append_status::Fenced:
        case append_status::WrongSequence:
            ++m_counters.unknownOutcome;
            writeLine("batch_submitted", id, "unknown", "the log did not answer");
            exchange.respond(failure(timeoutStatus, result_code::AppendUnknown, "The log did not answer; send the batch again."));
            return;
        }
    });
}

void batch_desk::answer(const http_exchange& exchange, const platform::caller_request& caller, const platform::batch_call& call)
{
    std::visit(call_visitor(*this, exchange, caller), call);
}

bool batch_desk::isSure(std::string_view batch) const
{
    return m_journal.isReady() && bootNow() - m_journal.confirmedAt(batch) < maxAge;
}

void batch_desk::readResults(const http_exchange& exchange, const platform::caller_request& caller, const platform::read_results_call& call)
{
    ++m_counters.reads;
    const instant now = bootNow();
    const waiting_read read { exchange, call, now, now + std::min(caller.wait, maxWait) };
    if (answerNow(read))
        return;
    m_waiting.push_back(read);
}

/// True when the answer is certain by now.
bool batch_desk::answerNow(const waiting_read& read)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (!batch) {
        // A read of the log that began after the call arrived would have shown the batch.
        if (!m_journal.isReady() || m_journal.confirmedAt(read.call.batch) < read.arrivedAt)
            return false;
        read.exchange.respond(failure(notFoundStatus, result_code::UnknownBatch, "There is no such batch."));
        return true;
    }
    const bool isAllListed = batch->results.size() == batch->items.size();
    if (read.call.position >= batch->results.size() && !isAllListed)
        return false;
    list(read, *batch);
    return true;
}

void batch_desk::list(const waiting_read& read, const ledger_batch& batch)
{
    std::vector<text_reference> references;
    for (const ledger_result& result : batch.page(read.call.position, platform::maxResultBytes)) {
        if (result.reference)
            references.push_back(*result.reference);
    }
    if (references.empty()) {
        respondResults(read, {});
        return;
    }
    m_journal.texts().read(std::move(references), [this, read](const std::optional<text_store::text_list>& texts) {
        if (texts)
            respondResults(read, *texts);
        else
            respondUnknown(read.exchange, read.call.batch, "the log does not give the texts");
    });
}

/// \a texts are those of the results that have a reference, in order; results that came meanwhile are left out.
void batch_desk::respondResults(const waiting_read& read, const text_store::text_list& texts)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (!batch) {
        respondUnknown(read.exchange, read.call.batch, "the batch was forgotten");
        return;
    }
    std::vector<platform::listed_result> results;
    text_store::text_list::const_iterator next = texts.begin();
    for (const ledger_result& result : batch->page(read.call.position, platform::maxResultBytes)) {
        if (result.reference && next == texts.end())
            break;
        const std::string_view text = result.reference ? std::string_view(**next++) : std::string_view(result.output.text);
        results.push_back({ batch->submission.items[result.item].id, result.isCompleted, text, result.output.versions, result.reward });
    }
    read.exchange.respond(jsonAnswer(okStatus, platform::encodeResults(batch->items.size(), read.call.position, results)));
}

void batch_desk::answerLate(const waiting_read& read)
{
    const ledger_batch* const batch = m_journal.ledger().find(read.call.batch);
    if (batch && isSure(read.call.batch)) {
        list(read, *batch);
        return;
    }
    respondUnknown(read.exchange, read.call.batch, "the ledger is behind the log");
}

void batch_desk::respondUnknown(const http_exchange& exchange, std::string_view batch, std::string_view reason)
{
    ++m_counters.readsUnsure;
    writeLine("batch_read", batch, "refused", reason);
    exchange.respond(refusal(result_code::LogUnavailable, "This daemon is not sure of the newest state.", comeBackAfter));
}

void batch_desk::readItem(const http_exchange& exchange, const platform::read_item_call& call)
{
    const ledger_batch* const batch = m_journal.ledger().find(call.batch);
    const std::optional<std::size_t> index = batch ? batch->indexOf(call.item) : std::nullopt;
    if (index && !batch->isLoaded) {
        readStoredItem(exchange, call, *batch->submission.contents);
        return;
    }
    if (index) {
        exchange.respond(bytesAnswer(batch->submission.items[*index].body));
        return;
    }
    if (batch || isSure(call.batch))
        exchange.respond(failure(notFoundStatus, result_code::UnknownBatch, "There is no such item."));
    else
        respondUnknown(exchange, call.batch, "the ledger is behind the log");
}

void batch_desk::readStoredItem(const http_exchange& exchange, const platform::read_item_call& call, const text_reference& contents)
{
    m_journal.texts().read({ contents }, [this, exchange, call](const std::optional<text_store::text_list>& texts) {
        const std::optional<std::string> body = texts ? journal::bodyOf(*texts->front(), call.item) : std::nullopt;
        if (body)
            exchange.respond(bytesAnswer(*body));
        else
            respondUnknown(exchange, call.batch, "the log does not give the contents of the batch");
    });
}

void batch_desk::endBatch(const http_exchange& exchange, const platform::end_batch_call& call)
{
    const ledger_batch* const batch = m_journal.ledger().find(call.batch);
    if (!batch) {
        if (isSure(call.batch))
            exchange.respond(failure(notFoundStatus, result_code::UnknownBatch, "There is no such batch."));
        else
            respondUnknown(exchange, call.batch, "the ledger is behind the log");
        return;
    }
    if (batch->isEnded) {
        exchange.respond(jsonAnswer(okStatus, "{}"));
        return;
    }
    m_journal.write(batch_ended { call.batch }, write_mode::Persistent, [this, exchange, id = call.batch](const append_report&) {
        ++m_counters.ended;
        writeLine("batch_ended", id, "done", "");
        exchange.respond(jsonAnswer(okStatus, "{}"));
    });
}

void batch_desk::onChanged(const ledger_batch& batch)
{
    const std::string& id = batch.submission.id;
    std::erase_if(m_waiting, [this, &id](const waiting_read& read) { return read.call.batch == id && answerNow(read); });
}

void batch_desk::tick()
{
    const instant now = bootNow();
    std::erase_if(m_waiting, [this, now](const waiting_read& read) {
        if (!read.exchange.isOpen() || answerNow(read))
            return true;
        const bool isUnknown = !m_journal.ledger().find(read.call.batch);
        if (now < read.due || (isUnknown && now < read.arrivedAt + confirmTime))
            return false;
        answerLate(read);
        return true;
    });
}

void batch_desk::writeLine(std::string_view event, std::string_view batch, std::string_view outcome, std::string_view reason)
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
