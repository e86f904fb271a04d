#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Fleet that reports the use of the organisations "guild" and "weavers" in windows of a second.
struct reporting_fleet : platform_fleet {
    explicit reporting_fleet(std::size_t daemons)
        : platform_fleet(daemons)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            setGatewaySetting(daemon, "duty_api", duties().address());
            setGatewaySetting(daemon, "duties", { "usage", "another" });
            setGatewaySetting(daemon, "usage_window_s", 1);
            setGatewaySetting(daemon, "order_lease_ms", 500);
            restart(daemon);
        }
        configureOrganisations(2, json::array({ { { "name", "guild" }, { "api_keys", { "guild-key" } } }, { { "name", "weavers" }, { "api_keys", { "weavers-key" } } } }));
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            waitReady(daemon);
        // Calls that are refused do not count.
        waitUntil([this, daemons] {
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                if (callShop(daemon, "probe", "no-key").status != 401)
                    return false;
            }
            return true;
        });
    }

    /// Calls of both organisations at \a daemon; returns how many of each were served.
    int callBoth(std::size_t daemon)
    {
        int served = 0;
        for (int number = 0; number < 5; ++number) {
            const std::string id = "c-" + std::to_string(++lastCall);
            const int status = callShop(daemon, id, "guild-key").status;
            served += status == 200 && callShop(daemon, id + "-w", "weavers-key").status == 200 ? 1 : 0;
        }
        return served;
    }

    /// Waits until \a requests of each organisation are reported.
    bool isReported(int requests)
    {
        return waitUntil([this, requests] {
            return run([this, requests] {
                return duties().requestsOf("guild") >= static_cast<std::uint64_t>(requests) && duties().requestsOf("weavers") >= static_cast<std::uint64_t>(requests);
            });
        });
    }

    /// Index of the daemon that made the last call; waits for one after \a calls calls.
    std::size_t holderAfter(std::size_t calls)
    {
        waitUntil([this, calls] { return run([this, calls] { return duties().calls().size() > calls; }); });
        return daemonOn(run([this] { return duties().calls().back().holder; }));
    }

    std::size_t calls()
    {
        return run([this] { return duties().calls().size(); });
    }

    /// Each window was reported with one count, by holders with tokens that only grow, and nothing was counted twice.
    void checkReports(int requests)
    {
        run([this, requests] {
            CHECK(duties().requestsOf("guild") == static_cast<std::uint64_t>(requests));
            CHECK(duties().requestsOf("weavers") == static_cast<std::uint64_t>(requests));
            CHECK(duties().conflicts() == 0);
            CHECK(duties().lowerTokens() == 0);
            std::map<std::uint64_t, std::set<std::string>> holders;
            for (const duty_record& record : duties().calls())
                holders[record.fencingToken].insert(record.holder);
            for (const std::pair<const std::uint64_t, std::set<std::string>>& token : holders)
                CHECK(token.second.size() == 1);
            return 0;
        });
    }

    int lastCall = 0;
};

}

TEST_CASE("The requests that all daemons passed on are reported once, and no window is missing")
{
    reporting_fleet fleet(3);
    int served = 0;
    for (std::size_t daemon = 0; daemon < 3; ++daemon)
        served += fleet.callBoth(daemon);
    REQUIRE(served == 15);
    CHECK(fleet.isReported(served));
    const std::size_t calls = fleet.calls();
    fleet.holderAfter(calls + 2);
    fleet.checkReports(served);
    fleet.run([&fleet] {
        const std::map<std::uint64_t, json>& windows = fleet.duties().windows();
        CHECK(windows.rbegin()->first - windows.begin()->first + 1 == windows.size());
        return 0;
    });
}

// Counts that only the memory of a process had were lost with it.
TEST_CASE("The requests that a killed daemon had passed on are reported")
{
    reporting_fleet fleet(3);
    const std::size_t holder = fleet.holderAfter(0);
    const std::size_t other = (holder + 1) % 3;
    int served = fleet.callBoth(other);
    std::this_thread::sleep_for(1500ms);
    fleet.daemon(other).killAndWait();
    served += fleet.callBoth(holder);
    CHECK(fleet.isReported(served));
    fleet.checkReports(served);
}

// A daemon that stopped did not write what it had counted last.
TEST_CASE("The requests that a daemon had passed on right before it stopped are reported")
{
    reporting_fleet fleet(3);
    const std::size_t holder = fleet.holderAfter(0);
    const std::size_t other = (holder + 1) % 3;
    const int served = fleet.callBoth(other);
    fleet.daemon(other).signal(SIGTERM);
    CHECK(fleet.daemon(other).wait() == 0);
    CHECK(fleet.isReported(served));
    fleet.checkReports(served);
}

// A new holder that added the windows up anew, or an old one that woke, reported a window with two counts.
TEST_CASE("Reports go on with a higher fencing token when the holder is killed or suspended")
{
    for (const int signal : { SIGKILL, SIGSTOP }) {
        INFO("Signal " << signal);
        reporting_fleet fleet(3);
        const std::size_t holder = fleet.holderAfter(0);
        int served = fleet.callBoth((holder + 1) % 3);
        fleet.daemon(holder).signal(signal);
        served += fleet.callBoth((holder + 2) % 3);
        const std::size_t calls = fleet.calls();
        CHECK(fleet.holderAfter(calls) != holder);
        if (signal == SIGSTOP)
            fleet.daemon(holder).signal(SIGCONT);
        CHECK(fleet.isReported(served));
        std::this_thread::sleep_for(2s);
        fleet.checkReports(served);
    }
}

TEST_CASE("A report that is refused or unanswered is repeated with the same counts")
{
    for (const duty_behaviour behaviour : { duty_behaviour::TooMany, duty_behaviour::Silent }) {
        reporting_fleet fleet(1);
        fleet.holderAfter(0);
        fleet.run([&fleet, behaviour] { fleet.duties().setBehaviour(behaviour); });
        const int served = fleet.callBoth(0);
        fleet.holderAfter(fleet.calls() + 2);
        fleet.run([&fleet] { fleet.duties().setBehaviour(duty_behaviour::Accepting); });
        CHECK(fleet.isReported(served));
        fleet.checkReports(served);
    }
}
