#include "standinset.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

using nlohmann::json;
using steady_clock = std::chrono::steady_clock;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::chrono::milliseconds loadRetryPeriod { 200 };
    constexpr std::size_t maxCachedPrompts = 256;
    constexpr std::size_t maxEvents = 1024;

    /// Weight versions as {"base","adapter"}.
    using weights_set = std::set<json>;

    struct completion : boost::intrusive_ref_counter<completion> {
        http_connection_ptr connection;
        std::string requestId;
        std::string prompt;
        std::uint64_t seed = 0;
        std::uint64_t position = 0;
        std::uint64_t end = 0;
        /// Position at which the connection breaks; beyond the end when it does not.
        std::uint64_t death = 0;
        std::chrono::milliseconds tokenTime {};
        const char* finishReason = "length";
        bool isStreamed = false;
        bool isCancelled = false;
        weights_set cachedWeights;
        weights_set usedWeights;
        std::vector<std::uint32_t> tokens;
    };
    using completion_ptr = boost::intrusive_ptr<completion>;

    struct timed_json {
        steady_clock::time_point time;
        json value;
    };

    void pushBounded(std::deque<timed_json>& queue, json value)
    {
        queue.push_back({ steady_clock::now(), std::move(value) });
        if (queue.size() > maxEvents)
            queue.pop_front();
    }

    class engine_standin {
    public:
        engine_standin(boost::asio::io_context& context, const json& settings)
            : m_server(
                context, settings, [this](const http_connection_ptr& connection) { handle(connection); }, [this] { faultsChanged(); })
            , m_settings(settings)
            , m_role(settings.value("serves", "serve"))
            , m_weights { settings.at("weights"), settings.at("weights") }
        {
        }

        standin_server& server() { return m_server; }

    private:
        void handle(const http_connection_ptr& connection)
        {
            const std::string path = requestPath(connection->request());
            const json body = requestJson(connection->request());
            if (path == "/v1/completions")
                complete(connection, body);
            else if (path == "/v1/cancel")
                cancel(connection, body.value("request_id", ""));
            else if (path == "/orders")
                order(connection, body);
            else if (path == "/state")
                connection->answer({ 200, state() });
            else if (path == "/load")
                connection->answer({ 200, load() });
            else if (path == "/cache_events")
                connection->answer({ 200, cacheEvents(queryNumber(connection->request(), "from", 0)) });
            else
                connection->answer({ 404, { { "error", "unknown path" } } });
        }

        void complete(const http_connection_ptr& connection, const json& body)
        {
            if (controls().take("/refuse_unrun")) {
                connection->answer({ 503, { { "error", "refused" } }, { { "X-Upstream-Ran", "no" } } });
                return;
            }
            const completion_ptr item(new completion);
            item->connection = connection;
            item->requestId = body.value("request_id", "");
            item->prompt = body.value("prompt", "");
            item->seed = body.value("seed", std::uint64_t(0));
            item->isStreamed = body.value("stream", false);
            for (const std::uint32_t token : body.value("resume_token_ids", std::vector<std::uint32_t>())) {
                if (token != tokenAt(item->prompt, item->seed, item->position++))
                    controls().count("resume_mismatches");
            }
            const std::uint64_t naturalEnd = m_settings.value("tokens", 16U);
            const std::uint64_t maxTokens = body.value("max_tokens", naturalEnd);
            item->end = std::max(item->position, std::min(maxTokens, naturalEnd));
            item->finishReason = maxTokens < naturalEnd ? "length" : "stop";
            item->death = controls().take("/die_mid_body") ? (item->position + item->end) / 2 : item->end + 1;
            const bool isSlow = controls().value("/slow_first_n").is_null() || controls().take("/slow_first_n");
            item->tokenTime = std::chrono::milliseconds(m_settings.value("token_ms", 1) + (isSlow ? controls().number("/slow_ms") : 0));
            controls().countExecution(connection->request(), item->requestId);
            m_waiting.push_back(item);
            startWaiting();
        }

        void startWaiting()
        {
            while (m_running.size() < m_settings.value("slots", 8U) && !m_waiting.empty()) {
                const completion_ptr item = m_waiting.front();
                m_waiting.pop_front();
                m_running.push_back(item);
                item->cachedWeights = cachedWeights(item->prompt);
                if (item->isStreamed)
                    item->connection->beginEvents();
                m_server.after(item->tokenTime, [this, item] { step(item); });
            }
            pushBounded(m_loads, { { "running", m_running.size() }, { "waiting", m_waiting.size() } });
        }

        /// Versions that computed the cached state of \a prompt; computes it now when there is none.
        weights_set cachedWeights(const std::string& prompt)
        {
            if (m_cache.size() >= maxCachedPrompts && !m_cache.contains(prompt)) {
                addCacheEvent(m_cache.begin()->first, "evicted");
                m_cache.erase(m_cache.begin());
            }
            weights_set& cached = m_cache[prompt];
            if (cached.empty()) {
                cached.insert(m_weights[0]);
                addCacheEvent(prompt, "stored");
            }
            return cached;
        }

        /// Produces one token. After a swap that failed partway, two versions take turns.
        void step(const completion_ptr& item)
        {
            if (std::find(m_running.begin(), m_running.end(), item) == m_running.end())
                return;
            const std::uint64_t position = item->position;
            if (!item->connection->isOpen() || item->isCancelled || position >= std::min(item->death, item->end)) {
                finish(item);
                return;
            }
            const std::uint32_t token = tokenAt(item->prompt, item->seed, position);
            if (item->isStreamed)
                item->usedWeights.clear();
            item->usedWeights.insert(item->cachedWeights.begin(), item->cachedWeights.end());
            item->usedWeights.insert(m_weights[position % m_weights.size()]);
            const bool isLast = ++item->position == item->end;
            if (item->isStreamed)
                item->connection->sendEvent(chunk(*item, { token }, isLast ? json(item->finishReason) : json()).dump());
            else
                item->tokens.push_back(token);
            m_server.after(isLast ? std::chrono::milliseconds(0) : item->tokenTime, [this, item] { step(item); });
        }

        void finish(const completion_ptr& item)
        {
            m_running.erase(std::find(m_running.begin(), m_running.end(), item));
            const bool isDying = item->position >= item->death;
            const json reason = item->isCancelled ? "cancelled" : item->finishReason;
            if (!item->isStreamed)
                item->connection->answer({ 200, chunk(*item, item->tokens, reason) }, isDying ? answer_shape::Truncated : answer_shape::Whole);
            else if (isDying)
                item->connection->close();
            else {
                if (item->position < item->end)
                    item->connection->sendEvent(chunk(*item, {}, reason).dump());
                item->connection->sendEvent("[DONE]");
                item->connection->endEvents();
            }
            startWaiting();
        }

        json chunk(const completion& item, const std::vector<std::uint32_t>& tokens, const json& finishReason)
        {
            std::string text;
            for (const std::uint32_t token : tokens)
                text += "w" + std::to_string(token) + " ";
            const json choice = { { "index", 0 }, { "text", text }, { "token_ids", tokens }, { "finish_reason", finishReason } };
            json result = { { "id", item.requestId }, { "choices", json::array({ choice }) } };
            if (!controls().isOn("/omit_weights"))
                result["weights"] = item.usedWeights;
            return result;
        }

        void cancel(const http_connection_ptr& connection, const std::string& requestId)
        {
            bool isFound = false;
            std::vector<completion_ptr> all = m_running;
            all.insert(all.end(), m_waiting.begin(), m_waiting.end());
            for (const completion_ptr& item : all) {
                item->isCancelled = item->isCancelled || item->requestId == requestId;
                isFound = isFound || item->requestId == requestId;
            }
            controls().count("cancels");
            connection->answer({ 200, { { "cancelled", isFound } } });
        }

        void order(const http_connection_ptr& connection, const json& body)
        {
            const std::uint64_t fencing = body.value("fencing", std::uint64_t(0));
            if (fencing < m_fencing && !controls().isOn("/ignore_fencing")) {
                controls().count("orders_refused");
                connection->answer({ 409, { { "accepted", false }, { "fencing", m_fencing } } });
                return;
            }
            m_fencing = fencing;
            controls().countExecution(connection->request());
            connection->answer({ 202, { { "accepted", true } } });
            if (body.value("order", "") == "role")
                m_role = body.value("role", m_role);
            else {
                m_isLoading = true;
                fetchWeights(++m_orderNumber, body.value("weights", json::object()));
            }
        }

        /// Loads from the weight store, again and again until it admits the load or a newer order comes.
        void fetchWeights(std::uint64_t orderNumber, const json& wanted)
        {
            if (orderNumber != m_orderNumber)
                return;
            const std::function<void(int)> loaded = [this, orderNumber, wanted](int status) {
                if (status == 200)
                    m_server.after(controls().delay("/load_ms"), [this, orderNumber, wanted] { finishLoad(orderNumber, wanted); });
                else
                    m_server.after(loadRetryPeriod, [this, orderNumber, wanted] { fetchWeights(orderNumber, wanted); });
            };
            const std::string store = m_settings.value("weight_store", "");
            if (store.empty())
                loaded(200);
            else
                m_server.post(store, "/models/" + m_settings.value("model", "") + "/loads", wanted.dump(), loaded);
        }

        void finishLoad(std::uint64_t orderNumber, const json& wanted)
        {
            if (orderNumber != m_orderNumber)
                return;
            m_isLoading = false;
            if (controls().take("/swap_fails"))
                return;
            m_weights[1] = wanted;
            if (controls().take("/swap_fails_partway"))
                return;
            m_weights[0] = wanted;
            if (!controls().isOn("/keep_cache"))
                dropCache();
        }

        void dropCache()
        {
            for (const std::pair<const std::string, weights_set>& entry : m_cache)
                addCacheEvent(entry.first, "evicted");
            m_cache.clear();
            for (const completion_ptr& item : m_running)
                item->cachedWeights.clear();
        }

        void faultsChanged()
        {
            if (!controls().isOn("/crash"))
                return;
            controls().change({ { "crash", nullptr } });
            ++m_orderNumber;
            m_isLoading = false;
            m_running.clear();
            m_waiting.clear();
            m_cache.clear();
            m_weights.fill({ { "base", m_settings.at("weights").at("base") }, { "adapter", 0 } });
            m_fencing = 0;
            pushBounded(m_loads, { { "running", 0 }, { "waiting", 0 } });
            m_server.after(std::chrono::milliseconds(1), [this] { m_server.crash(controls().delay("/crash_ms")); });
        }

        json load()
        {
            const std::chrono::milliseconds lag = controls().delay("/load_lag_ms");
            json newest = { { "running", 0 }, { "waiting", 0 } };
            for (const timed_json& sample : m_loads) {
                if (sample.time <= steady_clock::now() - lag)
                    newest = sample.value;
            }
            newest["age_ms"] = lag.count();
            return newest;
        }

        json state()
        {
            json state = load();
            state.update({ { "model", m_settings.at("model") }, { "weights", m_weights[0] }, { "loading", m_isLoading }, { "fencing", m_fencing }, { "role", m_role } });
            return state;
        }

        json cacheEvents(std::uint64_t from)
        {
            const steady_clock::time_point visible = steady_clock::now() - controls().delay("/cache_lag_ms");
            json events = json::array();
            for (const timed_json& item : m_cacheEvents) {
                if (item.time <= visible && item.value["offset"] >= from)
                    events.push_back(item.value);
            }
            const std::uint64_t next = events.empty() ? from : events.back()["offset"].get<std::uint64_t>() + 1;
            const json first = m_cacheEvents.empty() ? json(m_nextCacheEvent) : m_cacheEvents.front().value["offset"];
            return { { "first", first }, { "next", next }, { "events", events } };
        }

        void addCacheEvent(const std::string& prompt, const char* kind)
        {
            const std::uint64_t offset = m_nextCacheEvent++;
            const std::int64_t gapEvery = controls().number("/cache_gap_every");
            if (gapEvery > 0 && offset % gapEvery == 0)
                return;
            const std::uint64_t hash = XXH64(prompt.data(), prompt.size(), 0);
            pushBounded(m_cacheEvents, { { "offset", offset }, { "prefix_hash", std::to_string(hash) }, { "kind", kind } });
        }

        standin_controls& controls() { return m_server.controls(); }

        standin_server m_server;
        json m_settings;
        std::string m_role;
        /// Versions of the ranks: the first one is reported; they differ after a swap that failed partway.
        std::array<json, 2> m_weights;
        std::uint64_t m_fencing = 0;
        std::uint64_t m_orderNumber = 0;
        bool m_isLoading = false;
        std::vector<completion_ptr> m_running;
        std::deque<completion_ptr> m_waiting;
        std::map<std::string, weights_set> m_cache;
        std::deque<timed_json> m_loads;
        std::deque<timed_json> m_cacheEvents;
        std::uint64_t m_nextCacheEvent = 0;
    };

}

standin_server_ptr startEngine(boost::asio::io_context& context, const json& settings)
{
    const std::shared_ptr<engine_standin> standin = std::make_shared<engine_standin>(context, settings);
    return { standin, &standin->server() };
}

}
