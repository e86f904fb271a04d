#include <support/rolloutfixture.h>

#include <rollout/replicademand.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Engines of eight slots with scaling bounds, \a replicas of them, and an open batch of \a items items.
struct demand_fixture {
    demand_fixture(int replicas, std::size_t items)
        : configuration(makeConfiguration({ testModel }, 8))
    {
        configuration.services[0].scaling = scaling_bounds {};
        for (int number = 0; number < replicas; ++number)
            pool.update(makeReplica("r-" + std::to_string(number), "north-a", 1));
        ledger.apply(batch_accepted { makeBatch("b", items, 1) }, at(0ms));
    }

    service_demand demand(const std::set<std::string, std::less<>>& unreadModels = {}) const
    {
        return replicaDemands(configuration, ledger, pool, unreadModels).at(testService);
    }

    route_configuration configuration;
    batch_ledger ledger;
    replica_pool pool { "north-a" };
};

struct demand_case {
    const char* name;
    int replicas;
    std::size_t items;
    double busy;
};

const demand_case demandCases[] = {
    { "fewer items than slots", 4, 12, 1.5 },
    { "more items than slots", 4, 100, 4 / scaling_plan::headroom },
    { "no replica", 0, 100, 1 / scaling_plan::headroom },
    { "no item", 4, 0, 0 },
};

}

// A burst of items, which the replicas work off in time, had ever more replicas started.
TEST_CASE("Items without a result keep slots of engines busy, and ask for no more replicas than are listed")
{
    for (const demand_case& row : demandCases) {
        DYNAMIC_SECTION(row.name)
        {
            const service_demand demand = demand_fixture(row.replicas, row.items).demand();
            CHECK(demand.batch == row.busy);
            CHECK(demand.live == 0);
            CHECK(demand.isComplete);
        }
    }
}

TEST_CASE("Items with a result and ended batches keep no slot busy")
{
    demand_fixture fixture(4, 16);
    fixture.ledger.apply(item_finished { "b", makeBatch("b", 16, 1).items[0].id, true, { "text", 1, { 1 } } }, at(1ms));
    CHECK(fixture.demand().batch == 15 / 8.0);
    fixture.ledger.apply(batch_ended { "b" }, at(2ms));
    CHECK(fixture.demand().batch == 0);
}

// Load that this daemon does not see was taken for none, and replicas that were needed would be released.
TEST_CASE("The demand is incomplete with batches that were not read, and with calls of customers")
{
    demand_fixture fixture(4, 8);
    CHECK(!fixture.demand({ testModel }).isComplete);
    CHECK(fixture.demand({ "another" }).isComplete);
    route calls = fixture.configuration.routes[0];
    calls.kind = route_kind::Streaming;
    fixture.configuration.routes.push_back(calls);
    CHECK(!fixture.demand().isComplete);
    fixture.configuration.routes.pop_back();
    fixture.configuration.services[0].engine.reset();
    CHECK(!fixture.demand().isComplete);
}

TEST_CASE("Services without scaling bounds have no demand")
{
    demand_fixture fixture(4, 8);
    CHECK(scaledModels(fixture.configuration) == std::set<std::string, std::less<>> { testModel });
    fixture.configuration.services[0].scaling.reset();
    CHECK(replicaDemands(fixture.configuration, fixture.ledger, fixture.pool, {}).empty());
    CHECK(scaledModels(fixture.configuration).empty());
}
