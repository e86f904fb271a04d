#include <rollout/scalingplan.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr duration startTime = 4s;
constexpr duration lookInterval = 500ms;

/// Service "engines" with 1 to 30 replicas in each of the data centres a, b and c; b is the cheapest one, c the dearest.
service_definition engines()
{
    service_definition service;
    service.name = "engines";
    service.scaling = scaling_bounds { 1, 30, startTime, 0.2, { { "a", 1.0 }, { "b", 0.8 }, { "c", 1.25 } } };
    return service;
}

struct accepted_order {
    duration at {};
    scaling_order order;
    /// Number of replicas of the group before.
    std::uint32_t former = 0;
    /// Number of replicas of all groups before.
    std::uint32_t formerTotal = 0;
};

/// Platform that carries out orders, and one holder of the plan.
struct replay {
    explicit replay(std::uint32_t regularEach)
    {
        for (const char* dataCentre : { "a", "b", "c" })
            setRunning(dataCentre, false, regularEach);
    }

    void setRunning(const std::string& dataCentre, bool isSpot, std::uint32_t count)
    {
        running[{ "engines", dataCentre, isSpot }] = count;
    }

    /// Replicas that serve, in all data centres.
    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const std::pair<const replica_group, std::uint32_t>& group : running)
            sum += group.second;
        return sum;
    }

    std::uint32_t totalOf(bool isSpot) const
    {
        std::uint32_t sum = 0;
        for (const std::pair<const replica_group, std::uint32_t>& group : running)
            sum += group.first.isSpot == isSpot ? group.second : 0;
        return sum;
    }

    std::uint32_t totalIn(const std::string& dataCentre) { return running[{ "engines", dataCentre, false }] + running[{ "engines", dataCentre, true }]; }

    scaling_view view() const
    {
        scaling_view result;
        result.now = instant {} + 1000s + passed;
        result.services = services;
        result.isListKnown = isListKnown;
        for (const std::pair<const replica_group, std::uint32_t>& group : running)
            result.replicas.insert(result.replicas.end(), isListEmpty ? 0 : group.second, { group.first, false });
        result.replicas.insert(result.replicas.end(), draining.begin(), draining.end());
        if (hasDemand)
            result.demands["engines"] = demand;
        result.barred = barred;
        return result;
    }

    void carryOut(const scaling_order& order)
    {
        std::uint32_t& count = running[order.group];
        orders.push_back({ passed, order, count, total() });
        if (order.count <= count)
            count = order.count;
        else
            starting[order.group] = { passed + startTime, order.count };
    }

    void look()
    {
        passed += lookInterval;
        for (auto entry = starting.begin(); entry != starting.end();) {
            if (passed < entry->second.first) {
                ++entry;
                continue;
            }
            running[entry->first] = std::max(running[entry->first], entry->second.second);
            entry = starting.erase(entry);
        }
        const scaling_view now = view();
        plan.observe(now);
        const std::optional<scaling_order> order = plan.next(now);
        if (!order)
            return;
        ++sent;
        const bool isRefused = order->group.isSpot && !hasSpot;
        if (!isRefused && outcome != scaling_outcome::Refused)
            carryOut(*order);
        plan.onOutcome(*order, isRefused ? scaling_outcome::NotAvailable : outcome, now.now);
    }

    void run(duration time)
    {
        for (const duration end = passed + time; passed < end;)
            look();
    }

    /// Runs with items of batches on \a busy replicas.
    void runBatch(double busy, duration time)
    {
        demand = { 0, busy, true };
        run(time);
    }

    std::size_t ordersDown() const
    {
        return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(), [](const accepted_order& item) { return item.order.count < item.former; }));
    }

    std::vector<service_definition> services { engines() };
    scaling_plan plan;
    duration passed {};
    std::map<replica_group, std::uint32_t> running;
    std::map<replica_group, std::pair<duration, std::uint32_t>> starting;
    std::vector<listed_replica> draining;
    std::vector<accepted_order> orders;
    std::set<std::pair<std::string, std::string>> barred;
    service_demand demand { 0, 0, true };
    scaling_outcome outcome = scaling_outcome::Accepted;
    int sent = 0;
    bool hasDemand = true;
    bool isListKnown = true;
    bool isListEmpty = false;
    bool hasSpot = true;
};

struct unknown_case {
    const char* name;
    bool hasDemand;
    bool isListKnown;
    bool isListEmpty;
};

const unknown_case unknownCases[] = {
    { "no demand", false, true, false },
    { "an outdated list", true, false, false },
    { "an empty list", true, true, true },
};

}

// With no demand or list, an order would be given by what is not known: it would release replicas that serve.
TEST_CASE("Nothing is ordered while demand or replicas are unknown, and for ten seconds afterwards")
{
    for (const unknown_case& row : unknownCases) {
        DYNAMIC_SECTION(row.name)
        {
            replay load(0);
            load.setRunning("a", false, 1);
            load.hasDemand = row.hasDemand;
            load.isListKnown = row.isListKnown;
            load.isListEmpty = row.isListEmpty;
            load.runBatch(20, 300s);
            CHECK(load.sent == 0);
            load.hasDemand = load.isListKnown = true;
            load.isListEmpty = false;
            load.run(9500ms);
            CHECK(load.sent == 0);
            load.run(2s);
            CHECK(load.sent > 0);
        }
    }
}

// Replicas for a load that rose came too late when each step waited for the one before.
TEST_CASE("A step of the load is served within one start time, with a quarter on top, and no data centre has more than half")
{
    replay load(2);
    load.runBatch(4.8, 100s);
    REQUIRE(load.sent == 0);
    load.runBatch(16, 3s + startTime);
    CHECK(load.total() >= 20);
    for (const char* dataCentre : { "a", "b", "c" })
        CHECK(load.totalIn(dataCentre) <= load.total() / 2);
    CHECK(load.totalIn("b") >= load.totalIn("c"));
    CHECK(load.totalOf(true) > 0);
    const int sent = load.sent;
    load.run(60s);
    CHECK(load.sent == sent);
}

// Each wave paid the start time again when the replicas were released between two waves.
TEST_CASE("A wave that returns within 30 seconds releases no replica")
{
    replay load(2);
    for (int wave = 0; wave < 10; ++wave) {
        load.runBatch(16, 20s);
        load.runBatch(1, 30s);
    }
    CHECK(load.ordersDown() == 0);
    CHECK(load.total() >= 20);
}

// Half of the replicas were released at once, and the load that returned found too few.
TEST_CASE("After a minute with less load, replicas are released a tenth at a time, down to the minimum of each data centre")
{
    replay load(2);
    load.runBatch(2, 15s);
    load.runBatch(16, 120s);
    const std::uint32_t peak = load.total();
    load.runBatch(0, 59s);
    CHECK(load.total() == peak);
    load.run(1200s);
    CHECK(load.total() == 3);
    for (const accepted_order& item : load.orders) {
        if (item.order.count < item.former)
            CHECK(item.former - item.order.count <= std::max(1U, item.formerTotal / 10));
    }
    for (const char* dataCentre : { "a", "b", "c" })
        CHECK(load.totalIn(dataCentre) == 1);
}

// The replacement was ordered from the same spot replicas that had just been reclaimed.
TEST_CASE("Reclaimed spot replicas of a data centre are replaced by regular ones at once, and none is released there")
{
    replay load(2);
    load.runBatch(2, 15s);
    load.runBatch(16, 20s);
    REQUIRE(load.totalOf(true) > 0);
    const std::uint32_t total = load.total();
    const std::size_t before = load.orders.size();
    // They drain first, and are still listed.
    load.draining.assign(load.running[{ "engines", "b", true }], { { "engines", "b", true }, true });
    REQUIRE(!load.draining.empty());
    load.setRunning("b", true, 0);
    load.run(2s + startTime);
    CHECK(load.total() >= total);
    REQUIRE(load.orders.size() > before);
    for (std::size_t index = before; index < load.orders.size(); ++index)
        CHECK(!load.orders[index].order.group.isSpot);
    // The load falls right after the loss.
    load.runBatch(0, 50s);
    CHECK(load.ordersDown() == 0);
}

// Replicas were released where others had just been lost, or never again.
TEST_CASE("In a data centre that lost replicas beyond the need none is released for a minute, and later as usual")
{
    replay load(3);
    load.runBatch(0, 50s);
    load.setRunning("c", false, 2);
    load.run(58s);
    CHECK(load.ordersDown() > 0);
    for (const accepted_order& item : load.orders)
        CHECK(item.order.group.dataCentre != "c");
    load.run(400s);
    CHECK(load.total() == 3);
}

// An order of spot replicas that were not to be had was repeated while the load waited.
TEST_CASE("A refused order of spot replicas is replaced by one of regular ones for a minute")
{
    replay load(2);
    load.hasSpot = false;
    load.runBatch(2, 15s);
    load.runBatch(16, 3s + startTime);
    CHECK(load.total() >= 20);
    CHECK(load.totalOf(true) == 0);
    CHECK(load.sent == static_cast<int>(load.orders.size()) + 1);
}

TEST_CASE("Customers and the load that is always there get regular replicas, and peaks get spot ones")
{
    replay load(2);
    load.demand = { 8, 0, true };
    load.run(120s);
    CHECK(load.totalOf(false) == 10);
    CHECK(load.totalOf(true) == 0);
    load.demand = { 8, 8, true };
    load.run(20s);
    CHECK(load.totalOf(false) == 10);
    CHECK(load.totalOf(true) == 10);
}

// A restarted holder took its first look for the whole load.
TEST_CASE("A holder that has just taken over lowers nothing for a minute, and waits for the orders of the former one")
{
    replay load(4);
    load.runBatch(0, 59s);
    CHECK(load.sent == 0);
    load.run(30s);
    CHECK(load.ordersDown() > 0);

    replay later(2);
    // The former holder ordered 12 replicas that do not serve yet.
    later.starting[{ "engines", "b", false }] = { 8s, 12 };
    later.runBatch(8, 59s);
    CHECK(later.sent == 0);
    CHECK(later.total() == 16);
    later.plan.clear();
    const int sent = later.sent;
    later.runBatch(0, 59s);
    CHECK(later.sent == sent);
}

// During an outage of the list all replicas seemed to be lost.
TEST_CASE("A list that is empty for a while changes nothing")
{
    replay load(2);
    load.runBatch(4.8, 100s);
    load.isListEmpty = true;
    load.run(90s);
    load.isListEmpty = false;
    load.run(200s);
    CHECK(load.sent == 0);
}

TEST_CASE("Replicas that are lost below the minimum or the need are ordered again with the same number")
{
    replay load(2);
    load.runBatch(4, 30s);
    REQUIRE(load.sent == 0);
    load.setRunning("a", false, 0);
    load.run(1s);
    REQUIRE(load.orders.size() == 1);
    CHECK(load.orders[0].order == scaling_order { { "engines", "a", false }, 2 });
    load.run(startTime);
    CHECK(load.total() == 6);
    load.run(30s);
    CHECK(load.orders.size() == 1);
}

// Unknown load was taken for none, and replicas that served customers were released.
TEST_CASE("With demand that is known in part only, replicas are replaced and never released")
{
    replay load(4);
    load.demand = { 0, 0, false };
    load.run(300s);
    CHECK(load.sent == 0);
    load.setRunning("c", false, 1);
    load.run(2s + startTime);
    CHECK(load.total() == 12);
    load.run(300s);
    CHECK(load.ordersDown() == 0);
    CHECK(load.total() == 12);
}

// A data centre that did not bring its replicas back kept the service below its need.
TEST_CASE("Replicas that a data centre does not bring back are ordered elsewhere, and too many are released later")
{
    replay load(3);
    load.runBatch(7, 30s);
    REQUIRE(load.sent == 0);
    load.setRunning("b", false, 0);
    load.run(1s);
    REQUIRE(load.orders.size() == 1);
    CHECK(load.orders[0].order == scaling_order { { "engines", "b", false }, 3 });
    for (int look = 0; look < 60; ++look) {
        load.starting.erase({ "engines", "b", false });
        load.run(lookInterval);
    }
    CHECK(load.total() == 9);
    CHECK(load.totalIn("b") == 0);
    load.setRunning("b", false, 3);
    load.run(300s);
    CHECK(load.total() == 9);
}

// An order that may have been carried out was followed by another number.
TEST_CASE("An order without an answer is repeated with the same number")
{
    replay load(2);
    load.runBatch(2, 15s);
    load.outcome = scaling_outcome::Unknown;
    load.runBatch(8, 1500ms);
    REQUIRE(load.orders.size() > 1);
    for (const accepted_order& item : load.orders)
        CHECK(item.order == load.orders[0].order);
}

TEST_CASE("A data centre that may get no orders does not keep others from getting some")
{
    replay load(2);
    load.barred.insert({ "engines", "b" });
    load.runBatch(2, 15s);
    load.runBatch(8, 3s + startTime);
    CHECK(load.total() >= 10);
    CHECK(load.totalIn("b") == 2);
}

// A number that is out of the bounds of the service is refused by the platform.
TEST_CASE("No order leaves the bounds of the service")
{
    replay load(1);
    load.services[0].scaling->maxReplicas = 4;
    load.runBatch(100, 200s);
    CHECK(load.total() == 12);
    for (const accepted_order& item : load.orders)
        CHECK(item.order.count <= 4);
}

// The replicas of an upgrade were taken for ordered ones.
TEST_CASE("More replicas for half a minute change no order")
{
    replay load(2);
    load.demand = { 0, 2, false };
    load.run(100s);
    load.setRunning("a", false, 4);
    load.run(30s);
    load.setRunning("a", false, 2);
    load.run(100s);
    CHECK(load.sent == 0);
}

TEST_CASE("Whatever the load, no order goes below the need of the last minute or the minimum, or gives a data centre more than half")
{
    CHECK(rc::check([] {
        replay load(2);
        std::vector<std::pair<duration, double>> loads;
        const auto phases = *rc::gen::container<std::vector<std::pair<int, int>>>(5, rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(1, 90)));
        for (const std::pair<int, int>& phase : phases) {
            load.hasSpot = phase.second % 3 != 0;
            load.demand = { phase.first / 8.0, phase.first - phase.first / 8.0, true };
            for (const duration end = load.passed + phase.second * 1s; load.passed < end;) {
                const std::size_t orders = load.orders.size();
                load.look();
                loads.emplace_back(load.passed, phase.first);
                for (std::size_t index = orders; index < load.orders.size(); ++index) {
                    const accepted_order& item = load.orders[index];
                    if (item.order.count < item.former) {
                        double peak = 0;
                        for (const std::pair<duration, double>& look : loads)
                            peak = load.passed - look.first <= 60s ? std::max(peak, look.second) : peak;
                        RC_ASSERT(load.total() >= peak * 1.25);
                        RC_ASSERT(load.totalIn(item.order.group.dataCentre) >= 1U);
                    } else {
                        RC_ASSERT(item.order.count <= 25U);
                    }
                }
            }
        }
    }));
}
