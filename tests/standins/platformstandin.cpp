#include "platformstandin.h"

#include <algorithm>
#include <limits>
#include <utility>

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::size_t maxVmLists = 64;
    constexpr std::uint64_t defaultReadRecords = 500;
    constexpr int retryAfterSeconds = 1;

    /// Splits "/{first}/{second}/{third}"; parts that are missing are empty.
    struct path_parts {
        explicit path_parts(const std::string& path)
        {
            const std::size_t second = std::min(path.find('/', 1), path.size());
            const std::size_t third = std::min(path.find('/', std::min(second + 1, path.size())), path.size());
            collection = path.substr(0, second);
            id = second < path.size() ? path.substr(second + 1, third - second - 1) : "";
            action = third < path.size() ? path.substr(third + 1) : "";
        }

        std::string collection;
        std::string id;
        std::string action;
    };

    http_answer tooManyRequests()
    {
        return { 429, { { "error", "rate" } }, { { "Retry-After", std::to_string(retryAfterSeconds) } } };
    }

}

platform_standin::platform_standin(boost::asio::io_context& context, const json& settings)
    : m_controls(settings.value("faults", json::object()))
    , m_models(settings.value("models", json::object()))
    , m_server(context, settings.value("listen", "127.0.0.1:0"), [this](const http_connection_ptr& connection) { handle(connection); })
{
    m_controls.setOnChange([this] { faultsChanged(); });
    setVms({ { "vms", settings.value("vms", json::array()) } });
}

void platform_standin::handle(const http_connection_ptr& connection)
{
    if (m_controls.handle(connection))
        return;
    const http_request& request = connection->request();
    const path_parts parts(request.path);
    if (request.path == "/vms" && request.method == "GET")
        handleVms(connection);
    else if (request.path == "/_standin/vms" && request.method == "PUT") {
        setVms(request.json());
        connection->answer({ 200, m_vmLists.back().list });
    } else if (parts.collection == "/streams" && parts.action == "records")
        handleStream(connection, parts.id);
    else if (parts.collection == "/models")
        handleModel(connection, parts.id, parts.action);
    else
        connection->answer({ 404, { { "error", "unknown path" } } });
}

void platform_standin::handleStream(const http_connection_ptr& connection, const std::string& stream)
{
    if (m_controls.handleOutage(connection, "/log/outage"))
        return;
    if (connection->request().method == "POST")
        append(connection, stream);
    else
        read(connection, stream);
}

void platform_standin::append(const http_connection_ptr& connection, const std::string& stream)
{
    const json body = connection->request().json();
    if (!body.contains("records") || !body["records"].is_array() || body["records"].empty()) {
        connection->answer({ 400, { { "error", "records expected" } } });
        return;
    }
    if (!m_appendRate.admit(std::chrono::steady_clock::now(), m_controls.number("/log/appends_per_second"))) {
        connection->answer(tooManyRequests());
        return;
    }
    const std::uint64_t first = m_streams.append(stream, body["records"]);
    const std::uint64_t next = m_streams.end(stream);
    m_controls.countExecution(connection->request(), "");
    m_streams.retain(m_controls.number("/log/retention_records", std::numeric_limits<std::int64_t>::max()));
    if (m_controls.take("/log/lose_reply_after_write")) {
        m_controls.count("lost_replies");
        connection->close();
    } else
        answer(connection, m_controls.delay("/log/latency_ms"), { 200, { { "first", first }, { "next", next } } });
    finishReads(stream);
}

void platform_standin::read(const http_connection_ptr& connection, const std::string& stream)
{
    const http_request& request = connection->request();
    const waiting_read wait { connection, stream, request.number("from", 0), request.number("max", defaultReadRecords) };
    const std::uint64_t waitMs = request.number("wait_ms", 0);
    m_controls.count("reads");
    if (waitMs == 0 || wait.from != m_streams.end(stream)) {
        answerRead(wait);
        return;
    }
    const std::uint64_t waitNumber = m_nextWait++;
    m_waits.emplace(waitNumber, wait);
    m_server.after(std::chrono::milliseconds(waitMs), [this, waitNumber] {
        const std::map<std::uint64_t, waiting_read>::node_type found = m_waits.extract(waitNumber);
        if (!found.empty())
            answerRead(found.mapped());
    });
}

void platform_standin::answerRead(const waiting_read& wait)
{
    if (m_controls.handleOutage(wait.connection, "/log/outage"))
        return;
    const std::uint64_t first = m_streams.firstRetained(wait.stream);
    const std::chrono::milliseconds delay = m_controls.delay("/log/latency_ms");
    if (wait.from < first)
        answer(wait.connection, delay, { 410, { { "first_retained", first }, { "end", m_streams.end(wait.stream) } } });
    else
        answer(wait.connection, delay, { 200, m_streams.read(wait.stream, wait.from, wait.max, gap(wait.stream)) });
}

void platform_standin::finishReads(const std::string& stream)
{
    for (std::map<std::uint64_t, waiting_read>::iterator it = m_waits.begin(); it != m_waits.end();) {
        if (it->second.stream == stream) {
            answerRead(it->second);
            it = m_waits.erase(it);
        } else
            ++it;
    }
}

void platform_standin::faultsChanged()
{
    m_streams.retain(m_controls.number("/log/retention_records", std::numeric_limits<std::int64_t>::max()));
    if (!m_controls.isOn("/log/outage"))
        return;
    for (const std::pair<const std::uint64_t, waiting_read>& wait : m_waits)
        answerRead(wait.second);
    m_waits.clear();
}

offset_range platform_standin::gap(const std::string& stream) const
{
    const json fault = m_controls.value("/log/gap");
    if (!fault.is_object() || fault.value("stream", "") != stream)
        return {};
    return { fault.value("first", std::uint64_t(0)), fault.value("last", std::uint64_t(0)) };
}

void platform_standin::setVms(json list)
{
    m_vmRevision = list.value("revision", m_vmRevision + 1);
    list["revision"] = m_vmRevision;
    m_vmLists.push_back({ std::chrono::steady_clock::now(), std::move(list) });
    if (m_vmLists.size() > maxVmLists)
        m_vmLists.pop_front();
}

void platform_standin::handleVms(const http_connection_ptr& connection)
{
    if (m_controls.handleOutage(connection, "/vm_list/outage"))
        return;
    const std::chrono::steady_clock::time_point visible = std::chrono::steady_clock::now() - m_controls.delay("/vm_list/lag_ms");
    std::size_t index = m_vmLists.size() - 1;
    while (index > 0 && m_vmLists[index].time > visible)
        --index;
    const std::size_t older = m_controls.number("/vm_list/older_revision");
    connection->answer({ 200, m_vmLists[index - std::min(index, older)].list });
}

void platform_standin::handleModel(const http_connection_ptr& connection, const std::string& model, const std::string& action)
{
    if (m_controls.handleOutage(connection, "/weight_store/outage"))
        return;
    const http_request& request = connection->request();
    const std::chrono::milliseconds delay = m_controls.delay("/weight_store/latency_ms");
    if (action == "loads" && request.method == "POST") {
        if (!m_loadRate.admit(std::chrono::steady_clock::now(), m_controls.number("/weight_store/rate_per_second"))) {
            m_controls.count("loads_refused");
            answer(connection, delay, tooManyRequests());
            return;
        }
        m_controls.countExecution(request, "");
        answer(connection, delay, { 200, { { "model", model } } });
    } else if (action == "versions") {
        json& versions = m_models[model];
        const json version = { { "base", request.json().value("base", 0) }, { "adapter", request.json().value("adapter", 0) } };
        if (request.method == "POST" && std::find(versions.begin(), versions.end(), version) == versions.end()) {
            versions.push_back(version);
            std::sort(versions.begin(), versions.end());
        }
        answer(connection, delay, { 200, { { "model", model }, { "versions", versions.is_null() ? json::array() : versions } } });
    } else
        connection->answer({ 404, { { "error", "unknown path" } } });
}

void platform_standin::answer(const http_connection_ptr& connection, std::chrono::milliseconds delay, http_answer answer)
{
    if (delay.count() <= 0) {
        connection->answer(answer);
        return;
    }
    m_server.after(delay, [connection, answer = std::move(answer)] { connection->answer(answer); });
}

}
