#include <support/rolloutfixture.h>

#include <rollout/weightplan.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds usualLoadTime = 900ms;
constexpr std::chrono::milliseconds namingInterval = 4s;
constexpr std::chrono::milliseconds step = 10ms;
constexpr std::chrono::milliseconds warmUp = 8s;

const std::vector<std::string> models { "m0", "m1", "m2" };

/// What a simulation plays.
struct load_pattern {
    std::size_t replicas = 0;
    std::size_t models = 3;
    std::chrono::milliseconds loadTime = usualLoadTime;
    /// Replicas that leave after the warm-up.
    std::size_t leavingReplicas = 0;
};

/// Simulates, in virtual time, replicas that carry out weight load orders and trainers that name a version every four
/// seconds.
class weight_load_simulation {
public:
    explicit weight_load_simulation(const load_pattern& pattern)
        : m_pattern(pattern)
        , m_models(models.begin(), models.begin() + static_cast<std::ptrdiff_t>(pattern.models))
        , m_pool("north-a")
        , m_loadLimit(std::max<std::size_t>(2, (pattern.replicas + 2) / 5))
    {
        m_routes.setConfiguration(makeConfiguration(m_models, 12));
        for (std::size_t number = 0; number < pattern.replicas; ++number) {
            replica_entry entry = makeReplica("r" + std::to_string(number), "north-a", 1);
            entry.weights = { { "m0", 1 }, { "m1", 1 }, { "m2", 1 } };
            m_pool.update(entry);
        }
    }

    /// Simulates \a time; returns the longest time during which a model had no replica with a version that its trainer
    /// accepts.
    template <typename planner>
    std::chrono::milliseconds run(std::chrono::milliseconds time, planner plan)
    {
        std::map<std::string, std::chrono::milliseconds> idle;
        std::chrono::milliseconds longest = 0ms;
        std::uint64_t version = 1;
        for (std::chrono::milliseconds now = 0ms; now < time; now += step) {
            finishLoads(now);
            for (std::size_t number = 0; now == warmUp && number < m_pattern.leavingReplicas; ++number)
                m_pool.remove("r" + std::to_string(number));
            if (now % namingInterval == 0ms)
                ++version;
            for (const weight_order& order : plan(m_pool, m_routes, version, now))
                plan.onOutcome(order, carryOut(order, now), now);
            for (const std::string& model : m_models) {
                idle[model] = hasUsableReplica(model, version - 1) ? 0ms : idle[model] + step;
                longest = std::max(longest, idle[model]);
                if (now <= warmUp)
                    continue;
                m_fewestAccepted = std::min(m_fewestAccepted, acceptedReplicas(model, version - 1));
                m_acceptedTime += step * acceptedReplicas(model, version - 1);
                m_replicaTime += step * m_pool.replicas().size();
            }
            m_mostLoads = std::max(m_mostLoads, m_loads.size());
        }
        return longest;
    }

    std::size_t mostLoads() const { return m_mostLoads; }
    /// Lowest number of replicas, over all models and all times after the warm-up, with a version that the trainer
    /// accepts.
    std::size_t fewestAccepted() const { return m_fewestAccepted; }
    /// Mean fraction of the replicas, over all models and the time after the warm-up, with a version that the trainer accepts.
    double acceptedShare() const { return std::chrono::duration<double>(m_acceptedTime) / std::chrono::duration<double>(m_replicaTime); }
    /// Number of loads that do not slow each other down.
    std::size_t loadLimit() const { return m_loadLimit; }
    std::size_t loads() const { return m_done; }

private:
    struct load {
        weight_order order;
        std::chrono::milliseconds until;
    };

    /// Answer of the replica. Loads beyond the limit take proportionally longer.
    order_outcome carryOut(const weight_order& order, std::chrono::milliseconds now)
    {
        const bool isLoading = std::any_of(m_loads.begin(), m_loads.end(), [&order](const load& running) { return running.order.replica == order.replica; });
        if (isLoading)
            return order_outcome::Busy;
        if (m_pool.find(order.replica)->entry.weights.at(order.model) >= order.version)
            return order_outcome::Loaded;
        const std::size_t factor = std::max<std::size_t>(1, (m_loads.size() + loadLimit()) / loadLimit());
        m_loads.push_back({ order, now + m_pattern.loadTime * factor });
        return order_outcome::Accepted;
    }

    std::size_t acceptedReplicas(const std::string& model, std::uint64_t oldest) const
    {
        return static_cast<std::size_t>(std::count_if(m_pool.replicas().begin(), m_pool.replicas().end(), [&model, oldest](const std::pair<const std::string, replica_pool::replica>& item) {
            return item.second.entry.weights.at(model) >= oldest;
        }));
    }

    void finishLoads(std::chrono::milliseconds now)
    {
        std::erase_if(m_loads, [this, now](const load& item) {
            if (item.until > now)
                return false;
            m_pool.noteVersion(item.order.replica, item.order.model, item.order.version);
            ++m_done;
            return true;
        });
    }

    bool hasUsableReplica(const std::string& model, std::uint64_t oldest) const
    {
        return std::any_of(m_pool.replicas().begin(), m_pool.replicas().end(), [this, &model, oldest](const std::pair<const std::string, replica_pool::replica>& item) {
            const bool isLoading = std::any_of(m_loads.begin(), m_loads.end(), [&item, &model](const load& running) {
                return running.order.replica == item.first && running.order.model == model;
            });
            return !isLoading && item.second.entry.weights.at(model) >= oldest;
        });
    }

    load_pattern m_pattern;
    std::vector<std::string> m_models;
    replica_pool m_pool;
    std::size_t m_loadLimit;
    route_table m_routes;
    std::vector<load> m_loads;
    std::size_t m_mostLoads = 0;
    std::size_t m_fewestAccepted = SIZE_MAX;
    std::chrono::milliseconds m_acceptedTime { 0 };
    std::chrono::milliseconds m_replicaTime { 0 };
    std::size_t m_done = 0;
};

/// Plan for comparison: loads every version on all replicas, two at a time, in the order of the replicas.
class baseline_plan {
public:
    std::vector<weight_order> operator()(const replica_pool& pool, const route_table&, std::uint64_t version, std::chrono::milliseconds now)
    {
        std::erase_if(m_until, [now](const std::pair<const std::string, std::chrono::milliseconds>& item) { return item.second <= now; });
        std::vector<weight_order> orders;
        for (const std::string& model : models) {
            for (const std::pair<const std::string, replica_pool::replica>& item : pool.replicas()) {
                const bool isOld = item.second.entry.weights.at(model) < version;
                if (!isOld || m_until.size() >= 2 || m_until.contains(item.first))
                    continue;
                m_until[item.first] = now + usualLoadTime;
                orders.push_back({ item.first, "", model, version, load_mode::Retain });
            }
        }
        return orders;
    }

    void onOutcome(const weight_order&, order_outcome, std::chrono::milliseconds) { }

private:
    std::map<std::string, std::chrono::milliseconds> m_until;
};

class weight_plan_runner {
public:
    std::vector<weight_order> operator()(const replica_pool& pool, const route_table& routes, std::uint64_t version, std::chrono::milliseconds now)
    {
        for (const std::string& model : models) {
            m_plan.setTarget(model, version, at(now));
            m_plan.setOldestAllowed(model, version - 1);
        }
        return m_plan.plan(pool, routes, {}, at(now));
    }

    void onOutcome(const weight_order& order, order_outcome outcome, std::chrono::milliseconds now) { m_plan.onOutcome(order, outcome, at(now)); }

private:
    weight_plan m_plan;
};

}

TEST_CASE("With a new version every four seconds, trainers wait less than a second for a replica; if all replicas loaded it, they would wait over four")
{
    for (const std::size_t replicas : { 9U, 12U, 44U }) {
        DYNAMIC_SECTION(replicas << " replicas")
        {
            weight_load_simulation baseline({ replicas });
            CHECK(baseline.run(60s, baseline_plan()) > 4s);
            weight_load_simulation planned({ replicas });
            CHECK(planned.run(60s, weight_plan_runner()) < 1s);
            CHECK(planned.mostLoads() <= planned.loadLimit());
            CHECK(planned.fewestAccepted() >= replicas / models.size() / 2);
            CHECK(planned.loads() < 60s / namingInterval * replicas);
        }
    }
}

TEST_CASE("Replicas that leave do not keep the others from loading each version in time")
{
    weight_load_simulation simulation({ .replicas = 8, .models = 2, .loadTime = 1100ms, .leavingReplicas = 2 });
    CHECK(simulation.run(60s, weight_plan_runner()) < 1s);
    CHECK(simulation.mostLoads() <= simulation.loadLimit());
    // Each model has half of the replicas. All of them serve but during their share of the loads.
    CHECK(simulation.acceptedShare() > 0.4);
}

TEST_CASE("However long a load takes, no more loads run at the same time than the replicas can carry out without slowing down")
{
    for (const std::chrono::milliseconds loadTime : { 200ms, 900ms, 1500ms, 2500ms, 6000ms }) {
        DYNAMIC_SECTION(loadTime.count() << " ms")
        {
            weight_load_simulation simulation({ .replicas = 12, .loadTime = loadTime });
            simulation.run(60s, weight_plan_runner());
            CHECK(simulation.mostLoads() <= simulation.loadLimit());
            CHECK(simulation.loads() > 0);
        }
    }
}

TEST_CASE("A replica that gives no report leaves its place among the loads to another one")
{
    replica_pool pool("north-a");
    for (const char* const name : { "r1", "r2", "r3" })
        pool.update(makeReplica(name, "north-a", 1));
    route_table routes;
    routes.setConfiguration(makeConfiguration({ testModel }, 4));
    weight_plan plan;
    plan.setTarget(testModel, 3, at(0ms));
    plan.setOldestAllowed(testModel, 3);
    const std::vector<weight_order> orders = plan.plan(pool, routes, {}, at(0ms));
    REQUIRE(orders.size() == 2);
    plan.onOutcome(orders[0], order_outcome::Unreachable, at(0ms));
    const std::vector<weight_order> next = plan.plan(pool, routes, {}, at(10ms));
    REQUIRE(next.size() == 1);
    CHECK(next[0].replica == "r3");
}

TEST_CASE("A load that never ends gives its place to another replica")
{
    replica_pool pool("north-a");
    for (const char* const name : { "r1", "r2", "r3" })
        pool.update(makeReplica(name, "north-a", 1));
    route_table routes;
    routes.setConfiguration(makeConfiguration({ testModel }, 4));
    weight_plan plan;
    plan.setTarget(testModel, 3, at(0ms));
    plan.setOldestAllowed(testModel, 3);
    for (const weight_order& order : plan.plan(pool, routes, {}, at(0ms)))
        plan.onOutcome(order, order_outcome::Accepted, at(0ms));
    std::set<std::string> ordered;
    for (std::chrono::milliseconds now = 0ms; now < 25s; now += 100ms) {
        for (const weight_order& order : plan.plan(pool, routes, {}, at(now))) {
            ordered.insert(order.replica);
            plan.onOutcome(order, order_outcome::Busy, at(now));
        }
    }
    CHECK(ordered.contains("r3"));
}

TEST_CASE("An order without an answer is repeated only once it can no longer be carried out")
{
    replica_pool pool("north-a");
    pool.update(makeReplica("r1", "north-a", 1));
    route_table routes;
    routes.setConfiguration(makeConfiguration({ testModel }, 4));
    weight_plan plan;
    plan.setTarget(testModel, 2, at(0ms));
    const std::vector<weight_order> orders = plan.plan(pool, routes, {}, at(0ms));
    REQUIRE(orders.size() == 1);
    plan.onOutcome(orders[0], order_outcome::Unknown, at(0ms));
    CHECK(plan.plan(pool, routes, {}, at(2s)).empty());
    CHECK(plan.plan(pool, routes, {}, at(3s)).size() == 1);
}

TEST_CASE("Replicas that are barred because of an order of the former holder get no orders")
{
    replica_pool pool("north-a");
    pool.update(makeReplica("r1", "north-a", 1));
    route_table routes;
    routes.setConfiguration(makeConfiguration({ testModel }, 4));
    weight_plan plan;
    plan.setTarget(testModel, 2, at(0ms));
    const std::vector<std::string> barred { "r1" };
    CHECK(plan.plan(pool, routes, barred, at(0ms)).empty());
    CHECK(plan.plan(pool, routes, {}, at(0ms)).size() == 1);
}

TEST_CASE("Runs of a single-version route finish before a load")
{
    replica_pool pool("north-a");
    pool.update(makeReplica("r1", "north-a", 1));
    for (const bool isSingleVersion : { false, true }) {
        DYNAMIC_SECTION(isSingleVersion)
        {
            route_configuration configuration = makeConfiguration({ testModel }, 4);
            configuration.routes[0].isSingleVersion = isSingleVersion;
            route_table routes;
            routes.setConfiguration(configuration);
            weight_plan plan;
            plan.setTarget(testModel, 2, at(0ms));
            CHECK(plan.plan(pool, routes, {}, at(0ms)).at(0).mode == (isSingleVersion ? load_mode::Wait : load_mode::Retain));
        }
    }
}

TEST_CASE("No model depends on limited replicas alone while others serve without a limit")
{
    replica_pool pool("north-a");
    std::set<std::string> limited;
    for (int number = 0; number < 9; ++number) {
        replica_entry entry = makeReplica("r" + std::to_string(number), "north-a", 1);
        // The newest weights of each model are at three replicas.
        entry.weights = { { "m0", 1 }, { "m1", 1 }, { "m2", 1 } };
        entry.weights[models[static_cast<std::size_t>(number / 3)]] = 2;
        pool.update(entry);
        if (number < 6) {
            limited.insert(entry.id);
            pool.limits().merge({ pool.instanceOf(entry.id), 3, at(0ms) }, at(0ms));
        }
    }
    route_table routes;
    routes.setConfiguration(makeConfiguration(models, 12));
    weight_plan plan;
    for (const std::string& model : models)
        plan.setTarget(model, 3, at(0ms));
    for (std::chrono::milliseconds now = 0ms; now < 20s; now += 100ms) {
        for (const weight_order& order : plan.plan(pool, routes, {}, at(now))) {
            plan.onOutcome(order, order_outcome::Loaded, at(now));
            pool.noteVersion(order.replica, order.model, order.version);
        }
    }
    for (const std::string& model : models) {
        INFO(model);
        const std::map<std::string, replica_pool::replica, std::less<>>& all = pool.replicas();
        CHECK(std::any_of(all.begin(), all.end(), [&limited, &model](const std::pair<const std::string, replica_pool::replica>& item) {
            return !limited.contains(item.first) && item.second.entry.weights.at(model) == 3;
        }));
    }
}
