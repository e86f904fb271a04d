#include "enginestandin.h"

#include "httppost.h"
#include "tokensource.h"

#include <algorithm>
#include <iterator>
#include <utility>

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::chrono::milliseconds loadRetryPeriod { 200 };
    constexpr std::size_t maxCachedPrompts = 256;
    constexpr std::size_t maxEvents = 1024;
    constexpr int httpOk = 200;

}

engine_standin::engine_standin(boost::asio::io_context& context, const json& settings)
    : m_context(context)
    , m_controls(settings.value("faults", json::object()))
    , m_model(settings.value("model", "model"))
    , m_role(settings.value("serves", "serve"))
    , m_weightStore(settings.value("weight_store", ""))
    , m_tokenTime(settings.value("token_ms", 1))
    , m_naturalLength(settings.value("tokens", 16))
    , m_slots(settings.value("slots", 8))
    , m_weights(parsedWeights(settings.value("weights", json::object())))
    , m_server(context, settings.value("listen", "127.0.0.1:0"), [this](const http_connection_ptr& connection) { handle(connection); })
{
    m_controls.setOnChange([this] {
        if (m_controls.take("/crash"))
            m_server.after(std::chrono::milliseconds(1), [this] { crash(); });
    });
}

void engine_standin::handle(const http_connection_ptr& connection)
{
    if (m_controls.handle(connection))
        return;
    const std::string& path = connection->request().path;
    if (path == "/v1/completions")
        complete(connection);
    else if (path == "/v1/cancel")
        cancel(connection);
    else if (path == "/orders")
        order(connection);
    else if (path == "/state")
        connection->answer({ httpOk, state() });
    else if (path == "/load")
        connection->answer({ httpOk, load() });
    else if (path == "/cache_events")
        connection->answer({ httpOk, cacheEvents(connection->request().number("from", 0)) });
    else
        connection->answer({ 404, { { "error", "unknown path" } } });
}

void engine_standin::complete(const http_connection_ptr& connection)
{
    if (m_controls.take("/refuse_unrun")) {
        connection->answer({ 503, { { "error", "refused" } }, { { "X-Upstream-Ran", "no" } } });
        return;
    }
    const completion_ptr item = parsedCompletion(connection);
    m_controls.countExecution(connection->request(), item->requestId);
    m_waiting.push_back(item);
    startWaiting();
}

engine_standin::completion_ptr engine_standin::parsedCompletion(const http_connection_ptr& connection)
{
    const json body = connection->request().json();
    const completion_ptr item(new completion);
    item->connection = connection;
    item->requestId = body.value("request_id", "");
    item->prompt = body.value("prompt", "");
    item->seed = body.value("seed", std::uint64_t(0));
    item->isStreamed = body.value("stream", false);
    for (const std::uint32_t token : body.value("resume_token_ids", std::vector<std::uint32_t>())) {
        if (token != tokenAt(item->prompt, item->seed, item->position++))
            m_controls.count("resume_mismatches");
    }
    const std::uint64_t maxTokens = body.value("max_tokens", m_naturalLength);
    item->end = std::max(item->position, std::min(maxTokens, m_naturalLength));
    item->finishReason = maxTokens < m_naturalLength ? "length" : "stop";
    item->death = item->end + 1;
    if (m_controls.take("/die_mid_body"))
        item->death = (item->position + item->end) / 2;
    const bool isSlow = m_controls.value("/slow_first_n").is_null() || m_controls.take("/slow_first_n");
    item->tokenTime = m_tokenTime + (isSlow ? m_controls.delay("/slow_ms") : std::chrono::milliseconds(0));
    return item;
}

void engine_standin::startWaiting()
{
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        const completion_ptr item = m_waiting.front();
        m_waiting.pop_front();
        m_running.push_back(item);
        start(item);
    }
    sampleLoad();
}

void engine_standin::start(const completion_ptr& item)
{
    weights_set& cached = m_cache[item->prompt];
    if (cached.empty()) {
        cached.insert(m_weights.reported());
        addCacheEvent(item->prompt, "stored");
    }
    item->cachedWeights = cached;
    if (m_cache.size() > maxCachedPrompts) {
        addCacheEvent(m_cache.begin()->first, "evicted");
        m_cache.erase(m_cache.begin());
    }
    if (item->isStreamed)
        item->connection->beginEvents();
    m_server.after(item->tokenTime, [this, item] { step(item); });
}

void engine_standin::step(const completion_ptr& item)
{
    if (std::find(m_running.begin(), m_running.end(), item) == m_running.end())
        return;
    if (!item->connection->isOpen() || item->isCancelled || item->position >= item->death || item->position >= item->end) {
        finish(item);
        return;
    }
    const std::uint32_t token = tokenAt(item->prompt, item->seed, item->position);
    item->usedWeights = item->isStreamed ? item->cachedWeights : item->usedWeights;
    item->usedWeights.insert(item->cachedWeights.begin(), item->cachedWeights.end());
    item->usedWeights.insert(m_weights.producerAt(item->position));
    ++item->position;
    const bool isLast = item->position == item->end;
    if (item->isStreamed)
        item->connection->sendEvent(chunk(*item, { token }, isLast ? item->finishReason : nullptr).dump());
    else
        item->tokens.push_back(token);
    m_server.after(isLast ? std::chrono::milliseconds(0) : item->tokenTime, [this, item] { step(item); });
}

void engine_standin::finish(const completion_ptr& item)
{
    m_running.erase(std::find(m_running.begin(), m_running.end(), item));
    const char* reason = item->isCancelled ? "cancelled" : item->finishReason;
    if (item->isStreamed && item->position >= item->death)
        item->connection->close();
    else if (item->isStreamed) {
        if (item->isCancelled)
            item->connection->sendEvent(chunk(*item, {}, reason).dump());
        item->connection->sendEvent("[DONE]");
        item->connection->endEvents();
    } else if (item->position >= item->death)
        item->connection->answerTruncated({ httpOk, chunk(*item, item->tokens, reason) });
    else
        item->connection->answer({ httpOk, chunk(*item, item->tokens, reason) });
    startWaiting();
}

json engine_standin::chunk(const completion& item, const std::vector<std::uint32_t>& tokens, const char* finishReason) const
{
    std::string text;
    for (const std::uint32_t token : tokens)
        text += tokenText(token);
    json choice = { { "index", 0 }, { "text", text }, { "token_ids", tokens }, { "finish_reason", nullptr } };
    if (finishReason != nullptr)
        choice["finish_reason"] = finishReason;
    json result = { { "id", item.requestId }, { "choices", json::array({ choice }) } };
    if (!m_controls.isOn("/omit_weights"))
        result["weights"] = toJson(item.usedWeights);
    return result;
}

void engine_standin::cancel(const http_connection_ptr& connection)
{
    const std::string requestId = connection->request().json().value("request_id", "");
    bool isFound = false;
    std::vector<completion_ptr> all = m_running;
    all.insert(all.end(), m_waiting.begin(), m_waiting.end());
    for (const completion_ptr& item : all) {
        if (item->requestId == requestId) {
            item->isCancelled = true;
            isFound = true;
        }
    }
    m_controls.count("cancels");
    connection->answer({ httpOk, { { "cancelled", isFound } } });
}

void engine_standin::order(const http_connection_ptr& connection)
{
    const json body = connection->request().json();
    const std::uint64_t fencing = body.value("fencing", std::uint64_t(0));
    if (fencing < m_fencing && !m_controls.isOn("/ignore_fencing")) {
        m_controls.count("orders_refused");
        connection->answer({ 409, { { "accepted", false }, { "fencing", m_fencing } } });
        return;
    }
    m_fencing = fencing;
    m_controls.countExecution(connection->request(), "");
    if (body.value("order", "load") == "role")
        m_role = body.value("role", m_role);
    else {
        m_isLoading = true;
        fetchWeights(++m_orderNumber, parsedWeights(body.value("weights", json::object())));
    }
    connection->answer({ 202, { { "accepted", true } } });
}

void engine_standin::fetchWeights(std::uint64_t orderNumber, model_weights wanted)
{
    if (orderNumber != m_orderNumber)
        return;
    const std::chrono::milliseconds loadTime = m_controls.delay("/load_ms");
    if (m_weightStore.empty()) {
        m_server.after(loadTime, [this, orderNumber, wanted] { finishLoad(orderNumber, wanted); });
        return;
    }
    postJson(m_context, m_weightStore, "/models/" + m_model + "/loads", toJson(wanted).dump(), [this, orderNumber, wanted, loadTime](int status) {
        if (status == httpOk)
            m_server.after(loadTime, [this, orderNumber, wanted] { finishLoad(orderNumber, wanted); });
        else
            m_server.after(loadRetryPeriod, [this, orderNumber, wanted] { fetchWeights(orderNumber, wanted); });
    });
}

void engine_standin::finishLoad(std::uint64_t orderNumber, model_weights wanted)
{
    if (orderNumber != m_orderNumber)
        return;
    m_isLoading = false;
    if (m_controls.take("/swap_fails"))
        return;
    if (m_controls.take("/swap_fails_partway"))
        m_weights.swapPartway(wanted);
    else
        m_weights.swap(wanted);
    if (m_controls.isOn("/keep_cache"))
        return;
    for (const std::pair<const std::string, weights_set>& entry : m_cache)
        addCacheEvent(entry.first, "evicted");
    m_cache.clear();
    for (const completion_ptr& item : m_running)
        item->cachedWeights.clear();
}

void engine_standin::crash()
{
    ++m_orderNumber;
    m_isLoading = false;
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
    m_weights.restart();
    m_fencing = 0;
    m_server.crash(m_controls.delay("/crash_ms"));
    sampleLoad();
}

json engine_standin::state() const
{
    return { { "model", m_model }, { "weights", toJson(m_weights.reported()) }, { "loading", m_isLoading },
        { "fencing", m_fencing }, { "role", m_role } };
}

json engine_standin::load() const
{
    const std::chrono::milliseconds lag = m_controls.delay("/load_lag_ms");
    const clock::time_point visible = clock::now() - lag;
    load_sample newest;
    for (const load_sample& sample : m_loads) {
        if (sample.time <= visible)
            newest = sample;
    }
    return { { "running", newest.running }, { "waiting", newest.waiting }, { "age_ms", lag.count() } };
}

json engine_standin::cacheEvents(std::uint64_t from) const
{
    const clock::time_point visible = clock::now() - m_controls.delay("/cache_lag_ms");
    json events = json::array();
    std::uint64_t next = from;
    for (const cache_event& item : m_cacheEvents) {
        if (item.time > visible || item.event["offset"] < from)
            continue;
        events.push_back(item.event);
        next = item.event["offset"].get<std::uint64_t>() + 1;
    }
    const std::uint64_t first = m_cacheEvents.empty() ? m_nextCacheEvent : m_cacheEvents.front().event["offset"].get<std::uint64_t>();
    return { { "first", first }, { "next", next }, { "events", events } };
}

void engine_standin::sampleLoad()
{
    m_loads.push_back({ clock::now(), m_running.size(), m_waiting.size() });
    if (m_loads.size() > maxEvents)
        m_loads.pop_front();
}

void engine_standin::addCacheEvent(const std::string& prompt, const char* kind)
{
    const std::uint64_t offset = m_nextCacheEvent++;
    const std::int64_t gapEvery = m_controls.number("/cache_gap_every");
    if (gapEvery > 0 && offset % gapEvery == 0)
        return;
    m_cacheEvents.push_back({ clock::now(), { { "offset", offset }, { "prefix_hash", prefixHash(prompt) }, { "kind", kind } } });
    if (m_cacheEvents.size() > maxEvents)
        m_cacheEvents.pop_front();
}

}
