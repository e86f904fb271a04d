#include "freeaddresses.h"
#include "platformfleet.h"
#include "silentaddress.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

/// The platform judges a daemon that has lost its replicas from this time on.
constexpr std::chrono::seconds contactTime { 3 };
/// Time from a call that went by a configuration until no later call of the daemon goes by an older one.
constexpr std::chrono::milliseconds revertTime { 250 };
constexpr int callCount = 15;
/// Daemons that cannot read the newest configuration.
constexpr std::size_t behindCount = 4;
/// Calls so far apart that a daemon asks again those that have refused the call before.
constexpr int sparseCallCount = 8;
constexpr std::chrono::milliseconds peerFailurePause { 1100 };

/// Reply of \a daemon to call \a number on the route with the prefix \a path.
http_reply callShop(const platform_fleet& fleet, std::size_t daemon, const std::string& path, int number)
{
    const std::string id = path + "call-" + std::to_string(number);
    return send(fleet.caller(daemon), "POST", path + "1", "linen", { { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "800" } });
}

/// Number of calls to \a daemon that are served at their first attempt.
int countServed(const platform_fleet& fleet, std::size_t daemon, const std::string& path, int firstNumber)
{
    int served = 0;
    for (int number = firstNumber; number < firstNumber + callCount; ++number)
        served += callShop(fleet, daemon, path, number).status == 200 ? 1 : 0;
    return served;
}

struct cut_case {
    const char* name;
    bool isSilent;
};

const cut_case cutCases[] = {
    { "new connections to replicas hang", true },
    { "new connections to replicas are refused", false },
};

/// Daemons that cannot read the newer configuration; daemon 0 reaches no replica.
struct outdated_case {
    const char* name;
    std::vector<std::size_t> refused;
};

const outdated_case outdatedCases[] = {
    { "one of the others is refused", { 1 } },
    { "one of the others and the one that passes calls on are refused", { 0, 1 } },
};

/// Calls the shop through daemon 0 and checks that no call goes to "shop" once one has gone to "shop-2".
void checkVersionsRise(platform_fleet& fleet)
{
    std::optional<std::chrono::steady_clock::time_point> newerAt;
    for (int number = 100; number < 160; ++number) {
        const int status = callShop(fleet, 0, "/score/", number).status;
        const std::string id = "/score/call-" + std::to_string(number);
        const bool isOlder = fleet.startedAt("shop").contains(id);
        CHECK_FALSE((isOlder && newerAt && std::chrono::steady_clock::now() - *newerAt > revertTime));
        CHECK((status == 200 || status == 503));
        if (!newerAt && fleet.startedAt("shop-2").contains(id))
            newerAt = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(10ms);
    }
    CHECK(newerAt);
}

}

// Callers of a daemon without a path to any replica timed out or were refused, while other daemons served theirs.
TEST_CASE("Callers of a daemon that had lost its paths to all replicas were not served")
{
    for (const cut_case& row : cutCases) {
        INFO(row.name);
        const silent_address silent;
        platform_fleet fleet(3);
        fleet.addShops(2);
        CHECK(callShop(fleet, 0, "/score/", 0).status == 200);
        fleet.redirectReplicas(0, row.isSilent ? silent.text() : freeAddresses(1).front());
        for (int number = 1; number <= 3; ++number) {
            callShop(fleet, 0, "/score/", number);
            std::this_thread::sleep_for(contactTime / 3);
        }
        CHECK(countServed(fleet, 0, "/score/", 100) == callCount);
        const int runs = fleet.run([&fleet] { return fleet.shop().runs(); }) + fleet.runsAtMoreShops();
        CHECK(countServed(fleet, 0, "/orders/", 200) == callCount);
        CHECK(fleet.run([&fleet] { return fleet.shop().runs(); }) + fleet.runsAtMoreShops() == runs + callCount);
        CHECK(countServed(fleet, 1, "/score/", 300) == callCount);
        fleet.redirectNothing();
        std::this_thread::sleep_for(contactTime);
        CHECK(countServed(fleet, 0, "/score/", 400) == callCount);
    }
}

// A call goes to three other daemons at most, and which of them were behind was not known.
TEST_CASE("Callers of a daemon without a path to replicas were refused while most others were behind")
{
    const silent_address silent;
    platform_fleet fleet(behindCount + 2);
    fleet.redirectReplicas(0, silent.text());
    for (int number = 1; number <= 3; ++number) {
        callShop(fleet, 0, "/score/", number);
        std::this_thread::sleep_for(contactTime / 3);
    }
    for (std::size_t daemon = 1; daemon <= behindCount; ++daemon)
        fleet.setStoreAccess(daemon, store_access::Busy);
    // Reads under way still get their answer.
    std::this_thread::sleep_for(1s);
    fleet.addService("shop-2");
    fleet.moveRewardRoute(2, "shop-2");
    std::this_thread::sleep_for(contactTime);
    int served = 0;
    for (int number = 100; number < 100 + sparseCallCount; ++number) {
        served += callShop(fleet, 0, "/score/", number).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(peerFailurePause);
    }
    CHECK(served == sparseCallCount);
}

// CONFIG: of the daemons to which calls were passed on, one had an older configuration than another.
TEST_CASE("Calls that were passed on went by an older configuration after they had gone by a newer one")
{
    for (const outdated_case& row : outdatedCases) {
        DYNAMIC_SECTION(row.name)
        {
            platform_fleet fleet(3);
            fleet.redirectReplicas(0, freeAddresses(1).front());
            for (int number = 0; number < 3; ++number) {
                callShop(fleet, 0, "/score/", number);
                std::this_thread::sleep_for(contactTime / 3);
            }
            for (const std::size_t daemon : row.refused)
                fleet.setStoreAccess(daemon, store_access::Busy);
            // Reads under way still get their answer.
            std::this_thread::sleep_for(800ms);
            fleet.addService("shop-2");
            std::this_thread::sleep_for(200ms);
            fleet.moveRewardRoute(2, "shop-2");
            checkVersionsRise(fleet);
        }
    }
}
