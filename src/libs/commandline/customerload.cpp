#include "customerload.h"

#include "loadanswer.h"

#include <boost/asio/io_context.hpp>
#include <core/jsonreader.h>

#include <utility>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr std::string_view lastChunk = "data: [DONE]";

    double milliseconds(std::chrono::steady_clock::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    /// Whether the answer belongs to another request: the service echoed a path without \a key. Answers without an echoed
    /// path are not checked.
    bool isWrongAnswer(const std::string& body, const std::string& key)
    {
        const json document = parseJson(body);
        const bool isEcho = document.is_object() && document.contains("path") && document["path"].is_string();
        return isEcho && document["path"].get<std::string>().find(key) == std::string::npos;
    }

}

customer_load::customer_load(boost::asio::io_context& context, http_client& client, const load_plan& plan, const customer_plan& customer, std::uint64_t seed)
    : m_client(client)
    , m_plan(plan)
    , m_customer(customer)
    , m_callerEndpoints(plan.callerEndpoints, seed)
    , m_timer(context)
    , m_random(seed)
    , m_interarrivalTime(customer.requestsPerSecond)
{
    m_report.entry = customer.entry;
}

void customer_load::start(std::function<void()> onIdle)
{
    m_onIdle = std::move(onIdle);
    m_nextArrival = clock::now();
    m_end = m_nextArrival + m_plan.arrivalPeriod;
    scheduleArrival();
}

customer_report customer_load::report() const
{
    customer_report report = m_report;
    report.failed += m_inFlight;
    return report;
}

void customer_load::scheduleArrival()
{
    m_nextArrival += std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(m_interarrivalTime(m_random)));
    if (m_nextArrival >= m_end) {
        m_haveArrivalsEnded = true;
        if (isIdle())
            m_onIdle();
        return;
    }
    m_timer.expires_at(m_nextArrival);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        send(m_nextArrival);
        scheduleArrival();
    });
}

http_request customer_load::makeRequest(const std::string& key) const
{
    http_request request;
    request.method = "POST";
    request.headers = { { "Content-Type", "application/json" }, { "X-Owner", m_customer.owner },
        { "X-Due-Ms", std::to_string(m_customer.timeout.count()) }, { "Idempotency-Key", key } };
    if (m_customer.kind == entry_kind::Service) {
        request.target = "/v1/services/" + m_customer.entry + "/load/" + key;
        request.body = json { { "key", key } }.dump();
        return request;
    }
    request.target = "/v1/completions";
    request.body = json { { "model", m_customer.entry }, { "prompt", "Question " + key }, { "max_tokens", m_customer.maxTokens }, { "stream", true } }.dump();
    return request;
}

void customer_load::send(clock::time_point arrival)
{
    const std::string key = m_plan.runId + '-' + m_customer.entry + '-' + std::to_string(m_report.arrived);
    ++m_report.arrived;
    ++m_inFlight;
    http_call_options options;
    options.timeout = 2 * m_customer.timeout + m_plan.grace;
    m_client.callBuffered(m_callerEndpoints.current(), makeRequest(key), options,
        [this, arrival, key](const http_outcome& outcome, const http_response& response) { countAnswer(arrival, key, outcome, response); });
    m_callerEndpoints.advance();
}

void customer_load::countAnswer(clock::time_point arrival, const std::string& key, const http_outcome& outcome, const http_response& response)
{
    --m_inFlight;
    const result_code code = answerCode(outcome, response);
    const bool isModel = m_customer.kind == entry_kind::Model;
    if (outcome.code != result_code::Ok || (code == result_code::Ok && isModel && response.body.find(lastChunk) == std::string::npos))
        ++m_report.failed;
    else if (code != result_code::Ok)
        ++m_report.refusals[static_cast<int>(code)];
    else if (!isModel && isWrongAnswer(response.body, key))
        ++m_report.wrongAnswers;
    else
        countCompleteAnswer(arrival);
    if (isIdle())
        m_onIdle();
}

void customer_load::countCompleteAnswer(clock::time_point arrival)
{
    const double latency = milliseconds(clock::now() - arrival);
    m_report.latencies.push_back(latency);
    if (latency <= static_cast<double>(m_customer.timeout.count()))
        ++m_report.completeInTime;
    else
        ++m_report.completeLate;
}

}
