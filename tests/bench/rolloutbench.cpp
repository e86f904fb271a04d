#include <core/tokenbucket.h>
#include <core/weightrollout.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace ragwortreach;

constexpr int dataCentres = 5;
constexpr int replicasPerCentre = 120;
constexpr duration stepPeriod = std::chrono::milliseconds(250);
/// Time that a replica does not serve after the weight store refused its load.
constexpr duration refusedLoadTime = std::chrono::seconds(2);
constexpr duration longestRun = std::chrono::hours(4);
/// Share of loads after which the replica keeps its old weights.
constexpr double swapFailureShare = 0.02;
constexpr weight_version oldVersion { 1, 1 };
constexpr weight_version newVersion { 1, 2 };

/// How a fleet is brought to a new weight version.
enum class load_policy {
    /// The roll-out of the product: in waves that keep a share of the replicas serving.
    Waves,
    /// Orders every replica to load at once and repeats refused loads.
    AllAtOnce,
    /// The roll-out of the product with a share of 1, where one replica of a data centre loads at a time.
    OneByOne,
};

/// Parameters of one run.
struct bench_case {
    load_policy policy;
    /// Loads per second that the weight store admits from all data centres together.
    double storeRate;
    int loadSeconds;
    /// Share of the replicas of a data centre that has to keep serving (policy Waves).
    double servingShare;
};

/// Result of one run.
struct bench_result {
    double seconds = 0;
    double lowestServingShare = 1;
    /// Time not serving, summed over all replicas.
    double replicaSecondsLost = 0;
    int refusedLoads = 0;
};

struct bench_replica {
    std::string name;
    weight_version weights = oldVersion;
    bool isLoading = false;
    bool isRefused = false;
    instant until;
};

/// Simulation of the replicas of all data centres, with one shared weight store, in virtual time.
class fleet_simulation {
public:
    explicit fleet_simulation(const bench_case& parameters)
        : m_parameters(parameters)
        , m_store(parameters.storeRate, parameters.storeRate)
        , m_replicas(dataCentres)
    {
        for (int centre = 0; centre < dataCentres; ++centre) {
            m_rollouts.emplace_back(settingsOf(parameters));
            for (int i = 0; i < replicasPerCentre; ++i)
                m_replicas[centre].emplace_back().name = "llm-" + std::to_string(i);
        }
    }

    bench_result run()
    {
        begin();
        while (!isFinished() && m_now.time_since_epoch() < longestRun) {
            m_now += stepPeriod;
            for (int centre = 0; centre < dataCentres; ++centre)
                step(centre);
        }
        m_result.seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        return m_result;
    }

private:
    static rollout_settings settingsOf(const bench_case& parameters)
    {
        const double share = parameters.policy == load_policy::OneByOne ? 1.0 : parameters.servingShare;
        return { share, parameters.storeRate / dataCentres, 1 };
    }

    void begin()
    {
        for (int centre = 0; centre < dataCentres; ++centre) {
            m_rollouts[centre].handle(rollout_events::target_version_changed { oldVersion }, m_now);
            report(centre);
            m_rollouts[centre].handle(rollout_events::holding_changed { true, 1 }, m_now);
            perform(centre, m_rollouts[centre].handle(rollout_events::target_version_changed { newVersion }, m_now));
        }
    }

    void step(int centre)
    {
        int serving = 0;
        for (bench_replica& replica : m_replicas[centre]) {
            if (replica.isLoading && m_now >= replica.until)
                finish(replica);
            serving += replica.isLoading ? 0 : 1;
        }
        const double notServing = replicasPerCentre - serving;
        m_result.replicaSecondsLost += notServing * std::chrono::duration<double>(stepPeriod).count();
        m_result.lowestServingShare = std::min(m_result.lowestServingShare, static_cast<double>(serving) / replicasPerCentre);
        if (m_parameters.policy != load_policy::AllAtOnce)
            return report(centre);
        for (bench_replica& replica : m_replicas[centre]) {
            if (!replica.isLoading && replica.weights != newVersion)
                load(replica);
        }
    }

    void report(int centre)
    {
        for (const bench_replica& replica : m_replicas[centre])
            perform(centre, m_rollouts[centre].handle(rollout_events::replica_reported { replica.name, replica.weights, replica.isLoading }, m_now));
    }

    void perform(int centre, const std::vector<rollout_effect>& effects)
    {
        if (m_parameters.policy == load_policy::AllAtOnce)
            return;
        for (const rollout_effect& effect : effects) {
            const weight_load_order& order = std::get<weight_load_order>(effect);
            load(*std::find_if(m_replicas[centre].begin(), m_replicas[centre].end(),
                [&order](const bench_replica& replica) { return replica.name == order.replica; }));
        }
    }

    void load(bench_replica& replica)
    {
        replica.isLoading = true;
        replica.isRefused = !m_store.take(m_now);
        m_result.refusedLoads += replica.isRefused ? 1 : 0;
        replica.until = m_now + (replica.isRefused ? refusedLoadTime : std::chrono::seconds(m_parameters.loadSeconds));
    }

    void finish(bench_replica& replica)
    {
        replica.isLoading = false;
        const bool hasSwapFailed = std::uniform_real_distribution<double>()(m_random) < swapFailureShare;
        if (!replica.isRefused && !hasSwapFailed)
            replica.weights = newVersion;
    }

    bool isFinished() const
    {
        return std::all_of(m_replicas.begin(), m_replicas.end(), [](const std::vector<bench_replica>& replicas) {
            return std::all_of(replicas.begin(), replicas.end(), [](const bench_replica& replica) { return replica.weights == newVersion; });
        });
    }

    bench_case m_parameters;
    token_bucket m_store;
    std::vector<std::vector<bench_replica>> m_replicas;
    std::vector<weight_rollout> m_rollouts;
    std::mt19937_64 m_random { 20261204 };
    bench_result m_result;
    instant m_now;
};

const char* nameOf(load_policy policy)
{
    switch (policy) {
    case load_policy::Waves:
        return "waves";
    case load_policy::AllAtOnce:
        return "all at once";
    case load_policy::OneByOne:
        return "one by one";
    }
    return "";
}

const bench_case benchCases[] = {
    { load_policy::Waves, 10, 20, 0.75 },
    { load_policy::Waves, 10, 20, 0.9 },
    { load_policy::AllAtOnce, 10, 20, 0 },
    { load_policy::OneByOne, 10, 20, 0 },
    { load_policy::Waves, 50, 20, 0.75 },
    { load_policy::Waves, 50, 20, 0.9 },
    { load_policy::AllAtOnce, 50, 20, 0 },
    { load_policy::OneByOne, 50, 20, 0 },
    { load_policy::Waves, 10, 60, 0.75 },
    { load_policy::Waves, 10, 60, 0.9 },
    { load_policy::AllAtOnce, 10, 60, 0 },
    { load_policy::OneByOne, 10, 60, 0 },
};

void printTable()
{
    std::printf("| policy | store, loads/s | load, s | share kept | complete roll-out, s | lowest share serving | replica-seconds not serving | loads refused |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bench_case& parameters : benchCases) {
        const bench_result result = fleet_simulation(parameters).run();
        std::printf("| %s | %.0f | %d | %.2f | %.0f | %.2f | %.0f | %d |\n", nameOf(parameters.policy), parameters.storeRate,
            parameters.loadSeconds, parameters.servingShare, result.seconds, result.lowestServingShare, result.replicaSecondsLost, result.refusedLoads);
    }
}

}

int main()
{
    try {
        printTable();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}
