#include "replicastandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <stdexcept>

namespace ragwortreach::Tests {

using nlohmann::json;

namespace {

    /// Size of the data of one event: large enough that a result refers to its text instead of containing it.
    constexpr std::size_t eventBytes = 400;

    std::string header(const http_request& request, std::string_view name)
    {
        return std::string(headerValue(request.headers, name).value_or(""));
    }

}

replica_standin::replica_standin(boost::asio::io_context& context, store_standin& store, std::string id, std::string service, std::string model, std::string software)
    : m_context(context)
    , m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_model(std::move(model))
    , m_software(std::move(software))
    , m_restartTimer(context)
{
    startServer();
}

void replica_standin::startServer()
{
    m_server = std::make_unique<http_server>(
        m_context, http_server_limits {}, [this](const http_exchange& exchange) { answer(exchange); }, [](std::error_code) { return http_response { 400, {}, {} }; });
    if (m_server->listen({ "127.0.0.1", 0 }))
        throw std::runtime_error("replica stand-in: no free port on 127.0.0.1");
    writeEntry();
}

void replica_standin::crash(const http_exchange& exchange)
{
    ++m_crashes;
    m_server->stopAccepting();
    exchange.abort();
    for (const http_exchange& held : std::exchange(m_held, {}))
        held.abort();
    m_endedServers.push_back(std::move(m_server));
    m_restartTimer.expires_after(downTime);
    m_restartTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        ++m_startedAt;
        startServer();
    });
}

void replica_standin::writeEntry()
{
    const json entry { { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(m_server->port()) }, { "zone", "north-a" },
        { "version", m_software }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq_no", 1 }, { "born", m_startedAt },
        { "models", json::array({ { { "name", m_model }, { "version", m_version } } }) } };
    m_store.put("keyed.servers", m_id, entry.dump());
}

std::vector<http_header> replica_standin::headersFor(const http_request& request) const
{
    std::vector<http_header> headers { { "Request-Id", header(request, "Request-Id") }, { "Server-Stamp", "stamp-" + header(request, "Request-Id") },
        { "Weight-Versions", std::to_string(m_version) } };
    if (m_limit)
        headers.push_back({ "Server-Limit", std::to_string(*m_limit) });
    if (m_isLeaving)
        headers.push_back({ "Server-Leaving", "1" });
    return headers;
}

void replica_standin::answer(const http_exchange& exchange)
{
    const http_request& request = exchange.request();
    const std::string_view path = targetPath(request.target);
    m_hasSeenCredentials = m_hasSeenCredentials || headerValue(request.headers, "Authorization");
    if (headerValue(request.headers, "Tenant"))
        m_organisations[header(request, "Request-Id")] = header(request, "Tenant");
    if (header(request, "Expect-Instance") != m_id) {
        exchange.respond({ 421, {}, {} });
    } else if (path == "/api/report") {
        const json models = json::array({ { { "name", m_model }, { "version", m_version } } });
        exchange.respond({ 200, {}, json { { "busy", false }, { "seq_no", m_orders }, { "models", models } }.dump() });
    } else if (path == "/api/order") {
        ++m_orders;
        m_version = json::parse(request.body.view()).at("version").get<std::uint64_t>();
        exchange.respond({ 202, {}, {} });
        writeEntry();
    } else if (m_model.empty() && request.body.view().find(deadlyText) != std::string::npos) {
        crash(exchange);
    } else if (m_model.empty()) {
        m_started.insert(header(request, "Request-Id"));
        ++m_runs;
        m_held.push_back(exchange);
        if (!m_isHolding)
            answerHeld();
    } else {
        const std::string item = header(request, "Request-Id");
        const std::string after = header(request, "Last-Event-Id");
        m_started.insert(item);
        ++m_runs;
        m_resumed += after.empty() ? 0 : 1;
        exchange.beginStream({ 200, headersFor(request), std::nullopt });
        stream(exchange, after.empty() ? 1 : std::stoi(after) + 1, item.find("long") != std::string::npos ? longEvents : 2);
    }
}

void replica_standin::failHeld()
{
    for (const http_exchange& exchange : std::exchange(m_held, {}))
        exchange.respond({ 500, headersFor(exchange.request()), "failed" });
}

void replica_standin::answerHeld()
{
    for (const http_exchange& exchange : std::exchange(m_held, {}))
        exchange.respond({ 200, headersFor(exchange.request()), "parcel" });
}

void replica_standin::stream(const http_exchange& exchange, int event, int last)
{
    if (!exchange.isOpen())
        return;
    if (event > last) {
        exchange.endStream();
        return;
    }
    const std::string number = std::to_string(event);
    exchange.write("id: " + number + "\ndata: " + number + std::string(eventBytes, '.') + "\n\n");
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_context, m_eventInterval);
    timer->async_wait([this, timer, exchange, event, last](const boost::system::error_code&) { stream(exchange, event + 1, last); });
}

}
