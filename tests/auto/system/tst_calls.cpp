#include "testfleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace ragwortreach::Tests;
using nlohmann::json;

namespace {

const header_map orderHeaders = { { "X-Owner", "pitsinurk" }, { "Idempotency-Key", "order-1" } };
const header_map callerHeaders = { { "X-Owner", "pitsinurk" } };

/// Sends the order with the key "order-1" to the daemon \a index.
http_reply placeOrder(const test_fleet& fleet, std::size_t index)
{
    return fleet.call(index, "POST", "/v1/services/orders/thread", { { "parcels", 1 } }, orderHeaders);
}

/// Number of requests that the plain service has executed.
int shopExecutions(const test_fleet& fleet)
{
    return fleet.standins().counters(Shop)["executions"];
}

}

TEST_CASE("A customer gets a complete answer from any daemon")
{
    const test_fleet fleet(3);
    fleet.putEntry("shop", shopEntry(true));
    fleet.putEntry("assistant", assistantEntry());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const http_reply page = fleet.call(i, "GET", "/v1/services/shop/patterns?kind=torchon", nullptr, callerHeaders);
        CAPTURE(page.body);
        CHECK(page.status == 200);
        CHECK(page.isComplete);
        CHECK(page.json()["path"] == "/patterns");
        const http_reply stream = fleet.call(i, "POST", "/v1/completions", { { "model", "assistant" }, { "prompt", "ground" }, { "max_tokens", 8 }, { "seed", 3 }, { "stream", true } }, callerHeaders);
        CAPTURE(stream.body);
        CHECK(stream.status == 200);
        CHECK(stream.isComplete);
        CHECK(stream.isDone());
        std::uint64_t position = 0;
        for (const json& event : stream.events())
            CHECK(event["choices"][0]["token_ids"] == json::array({ ragwortreach::StandIns::tokenAt("ground", 3, position++) }));
        CHECK(position == 8);
    }
    CHECK(shopExecutions(fleet) == 3);
}

TEST_CASE("An answer that the upstream truncates reaches the caller as failed or truncated, never as a shorter complete one")
{
    const test_fleet fleet(1);
    fleet.putEntry("orders", shopEntry(false));
    fleet.putEntry("assistant", assistantEntry());
    fleet.standins().injectFaults({ { "die_mid_body", 1 } }, Shop);
    const http_reply order = placeOrder(fleet, 0);
    CAPTURE(order.body);
    CHECK_FALSE((order.status == 200 && order.isComplete));
    CHECK(shopExecutions(fleet) == 1);
    fleet.standins().injectFaults({ { "die_mid_body", 1 } }, EngineOne);
    fleet.standins().injectFaults({ { "die_mid_body", 1 } }, EngineTwo);
    const http_reply stream = fleet.call(0, "POST", "/v1/completions", { { "model", "assistant" }, { "prompt", "p" }, { "max_tokens", 8 }, { "stream", true } }, callerHeaders);
    CAPTURE(stream.body);
    CHECK((!stream.isComplete || stream.status != 200 || stream.events().size() == 8));
}

TEST_CASE("An order that is retried with its idempotency key at another daemon runs at most once")
{
    const test_fleet fleet(3);
    fleet.putEntry("orders", shopEntry(false));
    SECTION("After a complete answer")
    {
        CHECK(placeOrder(fleet, 0).status == 200);
        placeOrder(fleet, 1);
        placeOrder(fleet, 2);
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("After the upstream ran it and closed the connection without an answer")
    {
        fleet.standins().injectFaults({ { "die_before_answer", 1 } }, Shop);
        const http_reply lost = placeOrder(fleet, 0);
        CAPTURE(lost.body);
        CHECK(lost.json()["run"] == "unknown");
        CHECK(placeOrder(fleet, 1).json().value("run", "") != "no");
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("After a refusal that says that it did not run, the retry runs it")
    {
        fleet.standins().injectFaults({ { "refuse_unrun", true } }, Shop);
        const http_reply refused = placeOrder(fleet, 0);
        CAPTURE(refused.body);
        CHECK(refused.json()["run"] == "no");
        CHECK(shopExecutions(fleet) == 0);
        fleet.standins().injectFaults({ { "refuse_unrun", false } }, Shop);
        CHECK(waitUntil([&fleet] { return placeOrder(fleet, 1).status == 200; }));
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("Another body under the same key is refused as a conflict")
    {
        CHECK(placeOrder(fleet, 0).status == 200);
        const http_reply other = fleet.call(1, "POST", "/v1/services/orders/thread", { { "parcels", 2 } }, orderHeaders);
        CHECK(other.json().value("title", "") == "KeyConflict");
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("During an outage of the log it is refused as not run")
    {
        fleet.standins().injectFaults({ { "log", { { "outage", true } } } });
        const http_reply refused = placeOrder(fleet, 0);
        CAPTURE(refused.body);
        CHECK(refused.json()["run"] == "no");
        CHECK(shopExecutions(fleet) == 0);
    }
    SECTION("When the log loses the reply to the append of its claim")
    {
        fleet.standins().injectFaults({ { "log", { { "lose_reply_after_write", 1 } } } });
        placeOrder(fleet, 0);
        placeOrder(fleet, 1);
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("At three daemons at once")
    {
        fleet.standins().injectFaults({ { "latency_ms", 100 } }, Shop);
        std::vector<std::future<http_reply>> replies;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            replies.push_back(std::async(std::launch::async, [&fleet, i] { return placeOrder(fleet, i); }));
        for (std::future<http_reply>& reply : replies)
            CHECK(reply.get().status != 0);
        CHECK(shopExecutions(fleet) == 1);
    }
    SECTION("After the daemon was killed while it ran")
    {
        fleet.standins().injectFaults({ { "latency_ms", 2000 } }, Shop);
        std::future<http_reply> cut = std::async(std::launch::async, [&fleet] { return placeOrder(fleet, 0); });
        REQUIRE(waitUntil([&fleet] { return shopExecutions(fleet) == 1; }));
        fleet.daemon(0).killAndWait();
        CHECK_FALSE(cut.get().isComplete);
        placeOrder(fleet, 1);
        placeOrder(fleet, 2);
        CHECK(shopExecutions(fleet) == 1);
    }
}

TEST_CASE("A daemon that is stopped with SIGTERM finishes its running calls first")
{
    const test_fleet fleet(2);
    fleet.putEntry("shop", shopEntry(true));
    fleet.standins().injectFaults({ { "latency_ms", 1500 } }, Shop);
    std::future<http_reply> page = std::async(std::launch::async, [&fleet] { return fleet.call(0, "GET", "/v1/services/shop/slow", nullptr, callerHeaders); });
    REQUIRE(waitUntil([&fleet] { return shopExecutions(fleet) == 1; }));
    fleet.daemon(0).signal(SIGTERM);
    fleet.daemon(0).signal(SIGTERM);
    CHECK(waitUntil([&fleet] { return fleet.admin(0, "GET", "/readyz").status != 200; }));
    const http_reply reply = page.get();
    CAPTURE(reply.body);
    CHECK(reply.status == 200);
    CHECK(reply.isComplete);
    CHECK(fleet.daemon(0).wait() == 0);
    fleet.standins().injectFaults({ { "latency_ms", 0 } }, Shop);
    CHECK(fleet.call(1, "GET", "/v1/services/shop/next", nullptr, callerHeaders).status == 200);
}

// Calls that were open at the end of a stop were cut without an answer.
TEST_CASE("A call that outlasts the drain of its daemon gets a final answer")
{
    const test_fleet fleet(1);
    fleet.putEntry("shop", shopEntry(false));
    fleet.standins().injectFaults({ { "latency_ms", 20'000 } }, Shop);
    std::future<http_reply> page = std::async(std::launch::async, [&fleet] { return fleet.call(0, "GET", "/v1/services/shop/slow", nullptr, callerHeaders); });
    REQUIRE(waitUntil([&fleet] { return shopExecutions(fleet) == 1; }));
    fleet.daemon(0).signal(SIGTERM);
    const http_reply reply = page.get();
    CAPTURE(reply.body);
    CHECK(reply.status == 502);
    CHECK(reply.isComplete);
    CHECK(fleet.daemon(0).wait() == 0);
}
