#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Fleet that orders the replicas of the shop, of which there are at least two in north-a.
struct scaling_fleet : platform_fleet {
    scaling_fleet(std::size_t daemons, int shops)
        : platform_fleet(daemons)
    {
        addShops(shops - 1);
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            setGatewaySetting(daemon, "duty_api", duties().address());
            setGatewaySetting(daemon, "duties", { "scaling" });
            setGatewaySetting(daemon, "order_lease_ms", 500);
            restart(daemon);
        }
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            waitReady(daemon);
    }

    void setBounds(int version)
    {
        configureScaling(version, { { "min", 2 }, { "max", 5 }, { "boot_s", 1.0 }, { "spot_price", 0.5 }, { "zone_prices", { { "north-a", 1.0 } } } });
    }

    std::vector<duty_record> orders()
    {
        return run([this] { return duties().calls(); });
    }

    /// Waits until there are more than \a former orders.
    bool hasOrdersAfter(std::size_t former)
    {
        return waitUntil([this, former] { return orders().size() > former; });
    }

    /// Marks the replica "shop-2" as one that drains.
    void drainSecondShop()
    {
        const json entry { { "service", "shop" }, { "address", "127.0.0.1:9" }, { "zone", "north-a" }, { "slots", 8 }, { "state", "draining" },
            { "seq_no", 2 }, { "leaves_ms", 2000 } };
        run([this, &entry] { store().put("keyed.servers", "shop-2", entry.dump()); });
    }
};

}

// A lost replica was not replaced, or by each daemon once.
TEST_CASE("A replica that is lost below the minimum is ordered by one holder, and by its successor with a higher fencing token")
{
    scaling_fleet fleet(3, 2);
    fleet.setBounds(2);
    std::this_thread::sleep_for(14s);
    CHECK(fleet.orders().empty());
    fleet.drainSecondShop();
    REQUIRE(fleet.hasOrdersAfter(0));
    const duty_record first = fleet.orders().front();
    CHECK(first.path == "/scale");
    CHECK(first.body() == json({ { "service", "shop" }, { "zone", "north-a" }, { "group_count", 2 } }));
    const std::size_t holder = fleet.daemonOn(first.holder);
    REQUIRE(holder < 3);
    fleet.daemon(holder).killAndWait();
    const std::size_t former = fleet.orders().size();
    REQUIRE(fleet.hasOrdersAfter(former));
    const duty_record next = fleet.orders()[former];
    CHECK(next.holder != first.holder);
    CHECK(next.fencingToken > first.fencingToken);
    CHECK(next.body() == first.body());
    for (const duty_record& order : fleet.orders())
        CHECK((order.holder == first.holder) == (order.fencingToken == first.fencingToken));
    CHECK(fleet.run([&fleet] { return fleet.duties().lowerTokens(); }) == 0);
}

// With a list that could not be read, all replicas seemed to be lost or to be there.
TEST_CASE("Nothing is ordered while the list of replicas cannot be read")
{
    scaling_fleet fleet(1, 1);
    fleet.refuseReads(0, "keyed.servers");
    fleet.setBounds(2);
    std::this_thread::sleep_for(16s);
    CHECK(fleet.orders().empty());
    fleet.run([&fleet] { fleet.store().refuseReads({}, {}); });
    REQUIRE(fleet.hasOrdersAfter(0));
    CHECK(fleet.orders().front().body() == json({ { "service", "shop" }, { "zone", "north-a" }, { "group_count", 2 } }));
}
