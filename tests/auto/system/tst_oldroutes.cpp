#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

/// Bound of the platform on the time from the acknowledgement of a configuration until all daemons follow it.
constexpr std::chrono::seconds applyTime { 2 };
/// Time that the platform adds to applyTime while its store turns daemons away or is slow.
constexpr std::chrono::seconds disturbedTime { 5 };

/// Time for which a read that is under way still gets its answer.
constexpr std::chrono::milliseconds readWait { 800 };

/// Reply of \a daemon to a call on the route "rewards".
http_reply callRewards(const platform_fleet& fleet, std::size_t daemon, int number)
{
    const std::string id = "call-" + std::to_string(number);
    return send(fleet.caller(daemon), "POST", "/score/1", "linen", { { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "5000" } });
}

int runsAtShop(platform_fleet& fleet)
{
    return fleet.run([&fleet] { return fleet.shop().runs(); });
}

/// Routes that configurations have beside the usual ones: records of .3, 1 and 4 MB.
constexpr std::size_t addedRouteCounts[] = { 2000, 6000, 24000 };

/// Routes of a record of .24 MB, which the platform would take from a daemon, too, and a rate of the log at which it takes three
/// daemons two seconds to get it.
constexpr std::size_t slowlyAddedRoutes = 1300;
constexpr double slowReadRate = 360e3;

/// Memory in MiB of a VM that holds configurations of up to 1 MiB.
constexpr int smallMemory = 24;

/// Topic of which the store refuses reads to one daemon.
struct refusal_case {
    const char* name;
    const char* topic;
};

const refusal_case refusalCases[] = {
    { "the configuration", "keyed.op" },
    { "everything", "" },
};

/// Fleet of which the store refuses all daemons while it serves the operators.
struct refused_fleet_case {
    std::size_t daemons;
    store_access access;
};

const refused_fleet_case refusedFleetCases[] = {
    { 1, store_access::TooManyRequests },
    { 3, store_access::Busy },
};

}

// A configuration that was larger than a read allowed for was never in force, and calls went by the one before.
TEST_CASE("A large configuration was never in force")
{
    platform_fleet fleet(3);
    int version = 1;
    for (const std::size_t addedRoutes : addedRouteCounts) {
        ++version;
        const std::string service = "shop-" + std::to_string(version);
        fleet.addService(service);
        INFO(fleet.moveRewardRoute(version, service, addedRoutes) << " bytes");
        std::this_thread::sleep_for(applyTime);
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            CHECK(callRewards(fleet, daemon, static_cast<int>(daemon)).status == 200);
            const header_map headers { { "Host", "lace.example" }, { "Request-Id", "added-" + std::to_string(daemon) }, { "Deadline-Ms", "5000" } };
            CHECK(send(fleet.caller(daemon), "POST", "/added-" + std::to_string(addedRoutes - 1) + "/1", "linen", headers).status == 200);
        }
        CHECK(fleet.startedAt(service) == std::set<std::string> { "call-0", "call-1", "call-2" });
        fleet.restart(0);
        fleet.waitReady(0);
        fleet.run([&fleet] { fleet.store().compact(); });
    }
}

// Overdue reads got the record once more each, whatever they asked for, and the log had no time for anything else.
TEST_CASE("A record was sent to each daemon several times while the log was slow")
{
    constexpr std::size_t daemons = 3;
    platform_fleet fleet(daemons);
    fleet.addService("shop-2");
    std::this_thread::sleep_for(readWait);
    std::vector<std::uint64_t> readBefore;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        readBefore.push_back(fleet.run([&fleet, daemon] { return fleet.store().readBytes(fleet.storeAddress(daemon)); }));
    fleet.run([&fleet] { fleet.store().setReadRate(slowReadRate); });
    const std::size_t size = fleet.moveRewardRoute(2, "shop-2", slowlyAddedRoutes);
    std::this_thread::sleep_for(applyTime + disturbedTime);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        CHECK(callRewards(fleet, daemon, static_cast<int>(daemon)).status == 200);
        CHECK(fleet.isReady(daemon));
        const std::uint64_t readBytes = fleet.run([&fleet, daemon] { return fleet.store().readBytes(fleet.storeAddress(daemon)); });
        CHECK(readBytes - readBefore[daemon] < 2 * size);
    }
    CHECK(fleet.startedAt("shop-2").size() == daemons);
}

// Nothing bounded the use of the configuration before one that no daemon can hold.
TEST_CASE("Calls went by an older configuration while the newest one was larger than the daemon has memory for")
{
    platform_fleet fleet(2);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        fleet.setGatewaySetting(daemon, "memory_mb", smallMemory);
        fleet.restart(daemon);
        fleet.waitReady(daemon);
    }
    // The reads of the former processes.
    std::this_thread::sleep_for(readWait);
    const std::uint64_t readBefore = fleet.run([&fleet] { return fleet.store().readBytes(fleet.storeAddress(0)); });
    const std::size_t size = fleet.moveRewardRoute(2, "shop", addedRouteCounts[2]);
    std::this_thread::sleep_for(applyTime);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const http_reply reply = callRewards(fleet, daemon, static_cast<int>(daemon));
        CHECK(reply.status == 503);
        CHECK(reply.headers.contains("Retry-After"));
        CHECK_FALSE(fleet.isReady(daemon));
        CHECK(fleet.metrics(daemon).find("ragwortreach_platform_records_unreadable_total 1\n") != std::string::npos);
    }
    CHECK(runsAtShop(fleet) == 0);
    CHECK(fleet.run([&fleet] { return fleet.store().readBytes(fleet.storeAddress(0)); }) - readBefore < 2 * size);
    fleet.moveRewardRoute(3, "shop", addedRouteCounts[0]);
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        fleet.waitReady(daemon);
        CHECK(callRewards(fleet, daemon, 10 + static_cast<int>(daemon)).status == 200);
    }
}

// A daemon that the store turned away went on serving by routes that had been dropped.
TEST_CASE("A call went by an older configuration at a daemon that the store had turned away")
{
    for (const refusal_case& row : refusalCases) {
        INFO("The store refuses to let daemon 0 read " << row.name);
        platform_fleet fleet(3);
        fleet.refuseReads(0, row.topic);
        std::this_thread::sleep_for(readWait);
        fleet.dropRewardRoute(2);
        std::this_thread::sleep_for(applyTime);
        REQUIRE(callRewards(fleet, 1, 0).status == 404);
        const int runs = runsAtShop(fleet);
        for (int number = 1; number <= 10; ++number) {
            const http_reply reply = callRewards(fleet, 0, number);
            CHECK(reply.status == 503);
            CHECK(reply.headers.contains("Retry-After"));
        }
        CHECK(runsAtShop(fleet) == runs);
        CHECK_FALSE(fleet.isReady(0));
        fleet.refuseNothing();
        CHECK(waitUntil([&fleet] { return callRewards(fleet, 0, 11).status == 404; }));
        fleet.waitReady(0);
    }
}

// Daemons that all were refused, or that saw no other one, went on by old routes for as long as that lasted.
TEST_CASE("Calls went by an older configuration without a bound while the log refused all daemons in sight")
{
    for (const refused_fleet_case& row : refusedFleetCases) {
        INFO(row.daemons << " daemons");
        platform_fleet fleet(row.daemons);
        for (std::size_t daemon = 0; daemon < row.daemons; ++daemon)
            fleet.setStoreAccess(daemon, row.access);
        std::this_thread::sleep_for(readWait);
        fleet.dropRewardRoute(2);
        std::this_thread::sleep_for(applyTime + disturbedTime);
        const int runs = runsAtShop(fleet);
        for (std::size_t daemon = 0; daemon < row.daemons; ++daemon) {
            const http_reply reply = callRewards(fleet, daemon, static_cast<int>(daemon));
            CHECK(reply.status == 503);
            CHECK(reply.headers.contains("Retry-After"));
            CHECK_FALSE(fleet.isReady(daemon));
        }
        CHECK(runsAtShop(fleet) == runs);
        for (std::size_t daemon = 0; daemon < row.daemons; ++daemon)
            fleet.setStoreAccess(daemon, store_access::Serving);
        for (std::size_t daemon = 0; daemon < row.daemons; ++daemon) {
            CHECK(waitUntil([&fleet, daemon] { return callRewards(fleet, daemon, 10).status == 404; }));
            fleet.waitReady(daemon);
        }
    }
}

TEST_CASE("Daemons serve by the routes that they have while the log refuses reads to all of them")
{
    platform_fleet fleet(3);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Refusing); });
    std::this_thread::sleep_for(applyTime);
    for (std::size_t daemon = 0; daemon < 3; ++daemon)
        CHECK(callRewards(fleet, daemon, static_cast<int>(daemon)).status == 200);
}
