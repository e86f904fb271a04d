#pragma once

#include "engineweights.h"
#include "httpserver.h"
#include "standincontrols.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ragwortreach::StandIns {

/// A model engine that batches continuously: up to "slots" completions run, the others wait in order.
///
/// The token at a position depends on prompt and seed only. "max_tokens" bounds the whole answer with the
/// tokens in "resume_token_ids", so that a resumed request repeats the number of the first one; a resumed
/// token that differs from the engine's own counts as "resume_mismatches".
/// Faults: crash (with crash_ms), swap_fails, swap_fails_partway, ignore_fencing, omit_weights, keep_cache
/// (the prefix cache outlives a swap), load_ms, load_lag_ms, cache_lag_ms, cache_gap_every, die_mid_body,
/// refuse_unrun, slow_ms (for each token, of the next slow_first_n completions if that is set).
class engine_standin {
public:
    engine_standin(boost::asio::io_context& context, const nlohmann::json& settings);

    std::string address() const { return m_server.address(); }

private:
    using clock = std::chrono::steady_clock;

    struct completion : boost::intrusive_ref_counter<completion> {
        http_connection_ptr connection;
        std::string requestId;
        std::string prompt;
        std::uint64_t seed = 0;
        std::uint64_t position = 0;
        std::uint64_t end = 0;
        /// Position at which the engine dies under this completion; its end when it does not.
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
    struct load_sample {
        clock::time_point time;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };
    struct cache_event {
        clock::time_point time;
        nlohmann::json event;
    };

    void handle(const http_connection_ptr& connection);
    void complete(const http_connection_ptr& connection);
    completion_ptr parsedCompletion(const http_connection_ptr& connection);
    void startWaiting();
    void start(const completion_ptr& item);
    void step(const completion_ptr& item);
    void finish(const completion_ptr& item);
    nlohmann::json chunk(const completion& item, const std::vector<std::uint32_t>& tokens, const char* finishReason) const;
    void cancel(const http_connection_ptr& connection);

    void order(const http_connection_ptr& connection);
    void fetchWeights(std::uint64_t orderNumber, model_weights wanted);
    void finishLoad(std::uint64_t orderNumber, model_weights wanted);
    void crash();

    nlohmann::json state() const;
    nlohmann::json load() const;
    nlohmann::json cacheEvents(std::uint64_t from) const;
    void sampleLoad();
    void addCacheEvent(const std::string& prompt, const char* kind);

    boost::asio::io_context& m_context;
    standin_controls m_controls;
    std::string m_model;
    std::string m_role;
    std::string m_weightStore;
    std::chrono::milliseconds m_tokenTime;
    std::uint64_t m_naturalLength;
    std::size_t m_slots;
    engine_weights m_weights;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_orderNumber = 0;
    bool m_isLoading = false;
    std::vector<completion_ptr> m_running;
    std::deque<completion_ptr> m_waiting;
    std::map<std::string, weights_set> m_cache;
    std::deque<load_sample> m_loads;
    std::deque<cache_event> m_cacheEvents;
    std::uint64_t m_nextCacheEvent = 0;
    http_server m_server;
};

}
