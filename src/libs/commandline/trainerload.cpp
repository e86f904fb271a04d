#include "trainerload.h"

#include "loadanswer.h"

#include <boost/asio/io_context.hpp>
#include <core/jsonreader.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr std::chrono::milliseconds retryPeriod { 100 };
    constexpr std::chrono::milliseconds fetchWait { 1000 };
    constexpr std::chrono::milliseconds callTimeout { 10000 };
    constexpr std::uint32_t maxSamplesPerFetch = 256;
    constexpr std::uint32_t maxClosingCalls = 3;

    double milliseconds(std::chrono::steady_clock::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    json versionJson(const weight_version& version)
    {
        return { { "base", version.base }, { "adapter", version.adapter } };
    }

    weight_version readVersion(const json& document)
    {
        return { document.at("base"), document.at("adapter") };
    }

    /// \a slots as a list of ranges [first, last], both inclusive.
    json rangesJson(const std::set<std::uint32_t>& slots)
    {
        json ranges = json::array();
        for (const std::uint32_t slot : slots) {
            if (!ranges.empty() && ranges.back()[1].get<std::uint32_t>() + 1 == slot)
                ranges.back()[1] = slot;
            else
                ranges.push_back({ slot, slot });
        }
        return ranges;
    }

    /// Number of versions by which the oldest weights of \a sample lag behind \a trainer; nothing when a span has no versions.
    std::optional<std::uint64_t> versionsBehindOf(const weight_version& trainer, const json& sample)
    {
        std::uint64_t behind = 0;
        const json spans = sample.value("spans", json::array());
        for (const json& span : spans) {
            if (span.at("weights").empty())
                return std::nullopt;
            for (const json& weights : span.at("weights"))
                behind = std::max(behind, versionsBehind(trainer, readVersion(weights)));
        }
        return spans.empty() ? std::nullopt : std::optional<std::uint64_t>(behind);
    }

}

trainer_load::trainer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const trainer_plan& trainer)
    : m_client(client)
    , m_plan(plan)
    , m_trainer(trainer)
    , m_callerEndpoints(plan.callerEndpoints)
    , m_timer(context)
{
    m_report.name = trainer.name;
}

void trainer_load::start(std::function<void()> onIdle)
{
    m_onIdle = std::move(onIdle);
    m_end = clock::now() + m_plan.arrivalPeriod;
    if (m_plan.weightStore)
        readVersions();
    else
        nextBatch();
}

trainer_report trainer_load::report() const
{
    trainer_report report = m_report;
    if (m_isBatchOpen) {
        ++report.unfinished;
        report.idleMilliseconds += milliseconds(clock::now() - m_openedAt);
    }
    return report;
}

void trainer_load::readVersions()
{
    http_request request;
    request.target = "/models/" + m_trainer.model + "/versions";
    http_call_options options;
    options.timeout = callTimeout;
    m_client.callBuffered(*m_plan.weightStore, std::move(request), options, [this](const http_outcome& outcome, const http_response& response) {
        const json document = parseJson(response.body);
        const bool isRead = answerCode(outcome, response) == result_code::Ok && document.is_object() && !document.value("versions", json::array()).empty();
        if (isRead)
            m_version = readVersion(document["versions"].back());
        nextBatch();
    });
}

void trainer_load::nextBatch()
{
    const bool isLast = m_trainer.batches > 0 ? m_batchNumber >= m_trainer.batches : clock::now() >= m_end;
    if (isLast) {
        m_isIdle = true;
        m_onIdle();
        return;
    }
    m_batch = m_plan.runId + '-' + m_trainer.name + '-' + std::to_string(++m_batchNumber);
    m_heldSlots.clear();
    m_fetchNumber = 0;
    m_openedAt = clock::now();
    m_isBatchOpen = true;
    openBatch();
}

void trainer_load::openBatch()
{
    json groups = json::array();
    for (std::uint32_t i = 0; i < m_trainer.groups; ++i)
        groups.push_back({ { "prompt", "Pattern " + m_batch + ' ' + std::to_string(i) }, { "count", m_trainer.samplesPerGroup } });
    const json body { { "batch", m_batch }, { "entry", m_trainer.entry }, { "trainer", m_trainer.name }, { "owner", m_trainer.owner },
        { "due_ms", m_trainer.timeout.count() }, { "max_tokens", m_trainer.maxTokens }, { "groups", groups } };
    post(m_callerEndpoints.current(), "/v1/batches", body.dump(), &trainer_load::onOpened);
}

void trainer_load::onOpened(const http_response&)
{
    fetch();
}

std::string trainer_load::fetchBody(std::chrono::milliseconds wait)
{
    return json { { "fetch", ++m_fetchNumber }, { "version", versionJson(m_version) }, { "held", rangesJson(m_heldSlots) },
        { "max", maxSamplesPerFetch }, { "wait_ms", wait.count() } }
        .dump();
}

void trainer_load::fetch()
{
    post(m_callerEndpoints.current(), "/v1/batches/" + m_batch + "/fetch", fetchBody(fetchWait), &trainer_load::onFetched);
}

void trainer_load::onFetched(const http_response& response)
{
    const json document = parseJson(response.body);
    const json samples = document.is_object() ? document.value("samples", json::array()) : json::array();
    for (const json& sample : samples) {
        const std::uint32_t slot = sample.at("slot");
        if (slot >= sampleCount() || !m_heldSlots.insert(slot).second) {
            ++m_report.duplicates;
            continue;
        }
        ++m_report.samples;
        const std::optional<std::uint64_t> behind = versionsBehindOf(m_version, sample);
        if (behind)
            m_report.staleness.push_back(static_cast<double>(*behind));
        else
            ++m_report.unlabelled;
    }
    const bool holdsAllSamples = m_heldSlots.size() == sampleCount();
    const bool isReportedComplete = document.is_object() && document.value("complete", false);
    if (!holdsAllSamples && !isReportedComplete) {
        fetch();
        return;
    }
    const double waited = milliseconds(clock::now() - m_openedAt);
    m_isBatchOpen = false;
    m_report.idleMilliseconds += waited;
    m_report.batchTimes.push_back(waited);
    ++(holdsAllSamples ? m_report.completed : m_report.incomplete);
    m_closingCallsLeft = maxClosingCalls;
    if (isReportedComplete)
        train();
    else
        closeBatch();
}

void trainer_load::closeBatch()
{
    if (m_closingCallsLeft == 0) {
        train();
        return;
    }
    --m_closingCallsLeft;
    post(m_callerEndpoints.current(), "/v1/batches/" + m_batch + "/fetch", fetchBody(std::chrono::milliseconds::zero()), &trainer_load::onClosed);
}

void trainer_load::onClosed(const http_response&)
{
    train();
}

void trainer_load::train()
{
    m_report.trainingMilliseconds += static_cast<double>(m_trainer.trainingTime.count());
    runAfter(m_trainer.trainingTime, &trainer_load::publish);
}

void trainer_load::publish()
{
    if (!m_plan.weightStore) {
        nextBatch();
        return;
    }
    http_request request;
    request.method = "POST";
    request.target = "/models/" + m_trainer.model + "/versions";
    request.headers = { { "Content-Type", "application/json" } };
    const weight_version next { m_version.base, m_version.adapter + 1 };
    request.body = versionJson(next).dump();
    http_call_options options;
    options.timeout = callTimeout;
    m_client.callBuffered(*m_plan.weightStore, std::move(request), options, [this, next](const http_outcome& outcome, const http_response& response) {
        const result_code code = answerCode(outcome, response);
        if (code == result_code::Ok) {
            m_version = next;
            ++m_report.published;
        } else {
            ++m_report.failures[static_cast<int>(code)];
        }
        nextBatch();
    });
}

void trainer_load::post(const endpoint& address, const std::string& target, const std::string& body, answer_handler onAnswer)
{
    http_request request;
    request.method = "POST";
    request.target = target;
    request.headers = { { "Content-Type", "application/json" }, { "X-Owner", m_trainer.owner } };
    request.body = body;
    http_call_options options;
    options.timeout = callTimeout;
    m_client.callBuffered(address, std::move(request), options, [this, onAnswer](const http_outcome& outcome, const http_response& response) {
        const result_code code = answerCode(outcome, response);
        if (code != result_code::Ok) {
            onFailure(code, response);
            return;
        }
        try {
            (this->*onAnswer)(response);
        } catch (const json::exception&) {
            onFailure(result_code::MalformedMessage, response);
        }
    });
}

void trainer_load::onFailure(result_code code, const http_response& response)
{
    ++m_report.failedCalls;
    ++m_report.failures[static_cast<int>(code)];
    m_callerEndpoints.advance();
    if (!m_isBatchOpen) {
        runAfter(retryDelay(response, retryPeriod), &trainer_load::closeBatch);
        return;
    }
    const bool isRefusedForGood = code == result_code::BatchConflict || code == result_code::BatchCancelled || code == result_code::WrongOwner
        || code == result_code::MalformedRequest || code == result_code::ValueOutOfRange;
    if (isRefusedForGood) {
        ++m_report.unfinished;
        m_isBatchOpen = false;
        m_report.idleMilliseconds += milliseconds(clock::now() - m_openedAt);
        runAfter(m_trainer.trainingTime, &trainer_load::nextBatch);
        return;
    }
    // Opening is idempotent: the same id finds the existing batch, also after its owner has changed.
    runAfter(retryDelay(response, retryPeriod), &trainer_load::openBatch);
}

void trainer_load::runAfter(std::chrono::milliseconds time, void (trainer_load::*step)())
{
    m_timer.expires_after(time);
    m_timer.async_wait([this, step](const boost::system::error_code& error) {
        if (!error)
            (this->*step)();
    });
}

}
