#include "routingbench.h"

#include "enginemodel.h"

#include <core/replicarouter.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace ragwortreach::Bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t replicaCount = 24;
    constexpr std::size_t daemonCount = 6;
    constexpr duration stepTime = 10ms;
    constexpr duration runTime = 300s;
    constexpr duration reportPeriod = 1s;
    constexpr std::uint32_t groupSize = 8;
    constexpr std::uint32_t callTokens = 60;
    constexpr double groupsPerSecond = 7.5;

    struct open_call {
        std::size_t daemon = 0;
        std::size_t replica = 0;
        instant startedAt;
    };

    std::string replicaName(std::size_t replica)
    {
        return "llm-" + std::to_string(replica);
    }

    /// Simulation of the daemons and replicas under one policy.
    class routing_run {
    public:
        routing_run(routing_policy policy, std::uint64_t seed)
            : m_policy(policy)
            , m_random(seed)
            , m_engines(replicaCount, engine_model({}))
        {
            std::vector<replica_listing> listed;
            for (std::size_t replica = 0; replica < replicaCount; ++replica)
                listed.push_back({ replicaName(replica), replica_state::Live });
            for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
                m_routers.emplace_back("entry-" + std::to_string(daemon), seed, replicaCount);
                m_routers.back().setReplicas(listed);
            }
        }

        routing_result run()
        {
            const instant end = m_now + runTime;
            while (m_now < end) {
                m_now += stepTime;
                startGroups();
                finishCalls();
                reportLoads();
                sampleLoads();
            }
            return result();
        }

    private:
        double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

        void startGroups()
        {
            if (uniform() >= groupsPerSecond * std::chrono::duration<double>(stepTime).count())
                return;
            ++m_prompts;
            const std::size_t daemon = m_random() % daemonCount;
            for (std::uint32_t index = 0; index < groupSize; ++index)
                startCall(daemon, m_prompts);
        }

        void startCall(std::size_t daemon, std::uint64_t prompt)
        {
            const std::size_t replica = pick(daemon, prompt);
            const std::uint64_t id = ++m_calls;
            m_open[id] = { daemon, replica, m_now };
            m_routers[daemon].started(replicaName(replica));
            m_engines[replica].submit({ id, prompt, callTokens });
        }

        std::size_t pick(std::size_t daemon, std::uint64_t prompt)
        {
            route_request request;
            switch (m_policy) {
            case routing_policy::Router:
                request.groupKey = prompt;
                break;
            case routing_policy::RouterWithoutGroups:
                break;
            case routing_policy::Oracle:
                return pickByOracle(prompt);
            case routing_policy::RoundRobin:
                return m_next[daemon]++ % replicaCount;
            case routing_policy::Random:
                return m_random() % replicaCount;
            }
            return std::stoul(m_routers[daemon].pick(request)->substr(4));
        }

        /// Least loaded replica that has the prompt cached and is below the load bound; without one, the least
        /// loaded of all. Uses the current loads and caches, which the routers do not know.
        std::size_t pickByOracle(std::uint64_t prompt)
        {
            double total = 1;
            for (const engine_model& engine : m_engines)
                total += engine.load();
            const double bound = std::ceil(replicaLoadBound * total / replicaCount);
            std::size_t best = 0;
            std::pair<bool, std::uint32_t> bestRank { true, UINT32_MAX };
            for (std::size_t replica = 0; replica < replicaCount; ++replica) {
                const engine_model& engine = m_engines[replica];
                const bool isCached = engine.hasCached(prompt) && engine.load() + 1 <= bound;
                const std::pair<bool, std::uint32_t> rank { !isCached, engine.load() };
                if (rank < bestRank) {
                    best = replica;
                    bestRank = rank;
                }
            }
            return best;
        }

        void finishCalls()
        {
            for (engine_model& engine : m_engines) {
                for (const std::uint64_t id : engine.step(stepTime)) {
                    const open_call call = m_open[id];
                    m_open.erase(id);
                    m_routers[call.daemon].finished(replicaName(call.replica));
                    m_latencies.push_back(std::chrono::duration<double>(m_now - call.startedAt).count());
                }
            }
        }

        /// Reports to the routers the loads that the engines had one report period ago.
        void reportLoads()
        {
            if (m_now - m_reportedAt < reportPeriod)
                return;
            m_reportedAt = m_now;
            for (std::size_t replica = 0; replica < replicaCount && !m_lagged.empty(); ++replica) {
                for (replica_router& router : m_routers)
                    router.reportLoad(replicaName(replica), m_lagged[replica], 0);
            }
            m_lagged.clear();
            for (const engine_model& engine : m_engines)
                m_lagged.push_back(engine.load());
        }

        /// Adds the current ratio of the largest to the mean load to the average.
        void sampleLoads()
        {
            double total = 0;
            double largest = 0;
            for (const engine_model& engine : m_engines) {
                total += engine.load();
                largest = std::max<double>(largest, engine.load());
            }
            if (total == 0)
                return;
            m_loadRatioSum += largest * replicaCount / total;
            ++m_loadSamples;
        }

        routing_result result()
        {
            routing_result result;
            std::uint64_t hits = 0;
            std::uint64_t misses = 0;
            for (const engine_model& engine : m_engines) {
                hits += engine.hits();
                misses += engine.misses();
            }
            result.prefixHits = static_cast<double>(hits) / static_cast<double>(hits + misses);
            result.maxOverMeanLoad = m_loadRatioSum / m_loadSamples;
            std::sort(m_latencies.begin(), m_latencies.end());
            for (const double latency : m_latencies)
                result.meanLatencySeconds += latency / static_cast<double>(m_latencies.size());
            result.p99LatencySeconds = m_latencies[m_latencies.size() * 99 / 100];
            return result;
        }

        routing_policy m_policy;
        std::mt19937_64 m_random;
        std::vector<engine_model> m_engines;
        std::vector<replica_router> m_routers;
        std::map<std::uint64_t, open_call> m_open;
        std::vector<std::uint32_t> m_lagged;
        std::vector<double> m_latencies;
        instant m_now { 1000s };
        instant m_reportedAt {};
        std::uint64_t m_prompts = 0;
        std::uint64_t m_calls = 0;
        std::array<std::size_t, daemonCount> m_next {};
        double m_loadRatioSum = 0;
        double m_loadSamples = 0;
    };

}

std::string_view nameOf(routing_policy policy)
{
    switch (policy) {
    case routing_policy::Router:
        return "router";
    case routing_policy::RouterWithoutGroups:
        return "router without groups";
    case routing_policy::Oracle:
        return "oracle";
    case routing_policy::RoundRobin:
        return "round robin";
    case routing_policy::Random:
        return "random";
    }
    return "";
}

routing_result runRouting(routing_policy policy, std::uint64_t seed)
{
    return routing_run(policy, seed).run();
}

}
