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

    /// Wait before a weight load that the weight store refused is tried again.
    constexpr std::chrono::milliseconds loadRetryPeriod { 200 };
    constexpr std::size_t maxCachedPrompts = 256;
    constexpr std::size_t maxEvents = 1024;

    /// Set of weight versions, each as {"base","adapter"}.
    using weight_versions = std::set<json>;

    /// One completion request, from its arrival to the end of its answer.
    struct completion : boost::intrusive_ref_counter<completion> {
        http_connection_ptr connection;
        std::string requestId;
        std::string prompt;
        std::uint64_t seed = 0;
        /// Index of the next token; tokens that the request resumes from count.
        std::uint64_t position = 0;
        /// Index after the last token.
        std::uint64_t end = 0;
        /// Token index at which the connection closes early; greater than \c end when the answer is sent in full.
        std::uint64_t truncateAt = 0;
        std::chrono::milliseconds tokenTime {};
        const char* finishReason = "length";
        bool isStreamed = false;
        bool isCancelled = false;
        /// Versions that computed the cached prefix.
        weight_versions cachedWeights;
        /// Versions that took part in the next chunk, or in the whole answer when it is not streamed.
        weight_versions usedWeights;
        std::vector<std::uint32_t> tokens;
    };
    using completion_ptr = boost::intrusive_ptr<completion>;

    /// A report or event with the time at which it was made, so that it can be shown late.
    struct timed_json {
        steady_clock::time_point time;
        json value;
    };

    /// Appends \a value; drops the oldest entry beyond maxEvents.
    void pushBounded(std::deque<timed_json>& queue, json value)
    {
        queue.push_back({ steady_clock::now(), std::move(value) });
        if (queue.size() > maxEvents)
            queue.pop_front();
    }

    /// Stand-in of a model engine; startEngine() documents its settings and faults.
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
                handleCompletion(connection, body);
            else if (path == "/v1/cancel")
                handleCancel(connection, body.value("request_id", ""));
            else if (path == "/orders")
                handleOrder(connection, body);
            else if (path == "/state")
                connection->answer({ 200, state() });
            else if (path == "/load")
                connection->answer({ 200, reportedLoad() });
            else if (path == "/cache_events")
                connection->answer({ 200, cacheEvents(queryNumber(connection->request(), "from", 0)) });
            else
                connection->answer({ 404, { { "error", "unknown path" } } });
        }

        void handleCompletion(const http_connection_ptr& connection, const json& body)
        {
            if (controls().consume("/refuse_unrun")) {
                connection->answer({ 503, { { "error", "refused" } }, { { "X-Upstream-Ran", "no" } } });
                return;
            }
            const completion_ptr call(new completion);
            call->connection = connection;
            call->requestId = body.value("request_id", "");
            call->prompt = body.value("prompt", "");
            call->seed = body.value("seed", std::uint64_t(0));
            call->isStreamed = body.value("stream", false);
            for (const std::uint32_t token : body.value("resume_token_ids", std::vector<std::uint32_t>())) {
                if (token != tokenAt(call->prompt, call->seed, call->position++))
                    controls().count("resume_mismatches");
            }
            const std::uint64_t naturalEnd = m_settings.value("tokens", 16U);
            const std::uint64_t maxTokens = body.value("max_tokens", naturalEnd);
            call->end = std::max(call->position, std::min(maxTokens, naturalEnd));
            call->finishReason = maxTokens < naturalEnd ? "length" : "stop";
            call->truncateAt = controls().consume("/die_mid_body") ? (call->position + call->end) / 2 : call->end + 1;
            const bool isSlow = controls().value("/slow_first_n").is_null() || controls().consume("/slow_first_n");
            call->tokenTime = std::chrono::milliseconds(m_settings.value("token_ms", 1) + (isSlow ? controls().number("/slow_ms") : 0));
            controls().countExecution(connection->request(), call->requestId);
            m_waiting.push_back(call);
            startWaiting();
        }

        /// Starts queued completions while slots are free, and records the new load.
        void startWaiting()
        {
            while (m_running.size() < m_settings.value("slots", 8U) && !m_waiting.empty()) {
                const completion_ptr call = m_waiting.front();
                m_waiting.pop_front();
                m_running.push_back(call);
                call->cachedWeights = cachedWeights(call->prompt);
                if (call->isStreamed)
                    call->connection->beginEvents();
                m_server.after(call->tokenTime, [this, call] { produceToken(call); });
            }
            pushBounded(m_loads, { { "running", m_running.size() }, { "waiting", m_waiting.size() } });
        }

        /// Versions that computed the cached prefix of \a prompt. Computes it with the current weights when it is
        /// not cached.
        weight_versions cachedWeights(const std::string& prompt)
        {
            if (m_cache.size() >= maxCachedPrompts && !m_cache.contains(prompt)) {
                addCacheEvent(m_cache.begin()->first, "evicted");
                m_cache.erase(m_cache.begin());
            }
            weight_versions& cached = m_cache[prompt];
            if (cached.empty()) {
                cached.insert(m_weights[0]);
                addCacheEvent(prompt, "stored");
            }
            return cached;
        }

        /// Produces one token. After a swap that failed partway, tokens alternate between both versions.
        void produceToken(const completion_ptr& call)
        {
            if (std::find(m_running.begin(), m_running.end(), call) == m_running.end())
                return;
            const std::uint64_t position = call->position;
            if (!call->connection->isOpen() || call->isCancelled || position >= std::min(call->truncateAt, call->end)) {
                finish(call);
                return;
            }
            const std::uint32_t token = tokenAt(call->prompt, call->seed, position);
            if (call->isStreamed)
                call->usedWeights.clear();
            call->usedWeights.insert(call->cachedWeights.begin(), call->cachedWeights.end());
            call->usedWeights.insert(m_weights[position % m_weights.size()]);
            const bool isLast = ++call->position == call->end;
            if (call->isStreamed)
                call->connection->sendEvent(chunk(*call, { token }, isLast ? json(call->finishReason) : json()).dump());
            else
                call->tokens.push_back(token);
            m_server.after(isLast ? std::chrono::milliseconds(0) : call->tokenTime, [this, call] { produceToken(call); });
        }

        /// Ends the answer (complete, cancelled or truncated by a fault) and frees its slot.
        void finish(const completion_ptr& call)
        {
            m_running.erase(std::find(m_running.begin(), m_running.end(), call));
            const bool isTruncated = call->position >= call->truncateAt;
            const json reason = call->isCancelled ? "cancelled" : call->finishReason;
            if (!call->isStreamed)
                call->connection->answer({ 200, chunk(*call, call->tokens, reason) }, isTruncated ? answer_delivery::Truncated : answer_delivery::Complete);
            else if (isTruncated)
                call->connection->close();
            else {
                if (call->position < call->end)
                    call->connection->sendEvent(chunk(*call, {}, reason).dump());
                call->connection->sendEvent("[DONE]");
                call->connection->endEvents();
            }
            startWaiting();
        }

        /// One chunk of a stream, or a whole answer.
        json chunk(const completion& call, const std::vector<std::uint32_t>& tokens, const json& finishReason)
        {
            std::string text;
            for (const std::uint32_t token : tokens)
                text += "w" + std::to_string(token) + " ";
            const json choice = { { "index", 0 }, { "text", text }, { "token_ids", tokens }, { "finish_reason", finishReason } };
            json result = { { "id", call.requestId }, { "choices", json::array({ choice }) } };
            if (!controls().isOn("/omit_weights"))
                result["weights"] = call.usedWeights;
            return result;
        }

        void handleCancel(const http_connection_ptr& connection, const std::string& requestId)
        {
            bool isFound = false;
            std::vector<completion_ptr> all = m_running;
            all.insert(all.end(), m_waiting.begin(), m_waiting.end());
            for (const completion_ptr& call : all) {
                call->isCancelled = call->isCancelled || call->requestId == requestId;
                isFound = isFound || call->requestId == requestId;
            }
            controls().count("cancels");
            connection->answer({ 200, { { "cancelled", isFound } } });
        }

        /// Accepts an order to load weights or to change the role, unless its fencing number is outdated.
        void handleOrder(const http_connection_ptr& connection, const json& body)
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

        /// Requests the load from the weight store; retries until the store admits it or a newer order arrives.
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

        /// Puts the loaded weights into use, subject to the swap faults.
        void finishLoad(std::uint64_t orderNumber, const json& wanted)
        {
            if (orderNumber != m_orderNumber)
                return;
            m_isLoading = false;
            if (controls().consume("/swap_fails"))
                return;
            m_weights[1] = wanted;
            if (controls().consume("/swap_fails_partway"))
                return;
            m_weights[0] = wanted;
            if (!controls().isOn("/keep_cache"))
                dropCache();
        }

        void dropCache()
        {
            for (const std::pair<const std::string, weight_versions>& entry : m_cache)
                addCacheEvent(entry.first, "evicted");
            m_cache.clear();
            for (const completion_ptr& call : m_running)
                call->cachedWeights.clear();
        }

        /// Carries out the "crash" fault: loses all calls, the cache, the adapter and the fencing number.
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

        /// Load as reported to callers: the newest sample that is older than the fault "load_lag_ms".
        json reportedLoad()
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
            json state = reportedLoad();
            state.update({ { "model", m_settings.at("model") }, { "weights", m_weights[0] }, { "loading", m_isLoading }, { "fencing", m_fencing }, { "role", m_role } });
            return state;
        }

        /// Cache events from offset \a from on that are older than the fault "cache_lag_ms".
        json cacheEvents(std::uint64_t from)
        {
            const steady_clock::time_point visible = steady_clock::now() - controls().delay("/cache_lag_ms");
            json events = json::array();
            for (const timed_json& event : m_cacheEvents) {
                if (event.time <= visible && event.value["offset"] >= from)
                    events.push_back(event.value);
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
        /// Weight versions of the two ranks of the engine. Only the first is reported; they differ after a swap that
        /// failed partway.
        std::array<json, 2> m_weights;
        std::uint64_t m_fencing = 0;
        std::uint64_t m_orderNumber = 0;
        bool m_isLoading = false;
        std::vector<completion_ptr> m_running;
        std::deque<completion_ptr> m_waiting;
        std::map<std::string, weight_versions> m_cache;
        /// Load after each change, for late reports.
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
