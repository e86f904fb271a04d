#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace ragwortreach::Tests;
using nlohmann::json;

namespace {

constexpr const char* longItem = "i-long";

const header_map host { { "Host", "lace.example" } };

header_map headersFor(const std::string& id)
{
    return { { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "60000" } };
}

/// Batch of three short items and one long one, all in groups of their own.
json batch(const std::string& prefix)
{
    json items = json::array();
    for (const char* name : { "i-1", "i-2", "i-3", longItem })
        items.push_back({ { "id", prefix + name }, { "path", "/lots/1" }, { "headers", json::object() }, { "body", "bGFjZQ==" }, { "token_count", 90 }, { "group_id", prefix + name } });
    return { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", 4 }, { "items", items } };
}

/// Batch of four short items with reward calls.
json rewardBatch()
{
    json items = json::array();
    for (const std::string name : { "i-1", "i-2", "i-3", "i-4" }) {
        const json reward { { "id", "reward-" + name }, { "host", "lace.example" }, { "path", "/score/1" }, { "body", "bGFjZQ==" } };
        items.push_back({ { "id", name }, { "path", "/lots/1" }, { "body", "bGFjZQ==" }, { "group_id", name }, { "scorer", reward } });
    }
    return { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", 4 }, { "items", items } };
}

json results(const platform_fleet& fleet, std::size_t daemon, const std::string& id)
{
    const http_reply reply = send(fleet.caller(daemon), "GET", "/api/lots/" + id + "?after=0", nullptr, host);
    return reply.status == 200 ? reply.json()["results"] : json::array();
}

bool hasResults(const platform_fleet& fleet, std::size_t daemon, const std::string& id, std::size_t count)
{
    return waitUntil([&fleet, daemon, &id, count] { return results(fleet, daemon, id).size() >= count; });
}

/// Whether \a text has the data of the events 1 to \a events, each once and in order.
bool isWhole(const std::string& text, int events)
{
    std::size_t begin = 0;
    for (int event = 1; event <= events; ++event) {
        const std::string number = std::to_string(event) + ".";
        if (text.compare(begin, number.size(), number) != 0)
            return false;
        const std::size_t end = text.find('\n', begin);
        if (end == std::string::npos)
            return event == events;
        begin = end + 1;
    }
    return false;
}

}

TEST_CASE("A batch that one daemon takes is read in the same order at all, whole and with its versions")
{
    platform_fleet fleet(2);
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    CHECK(send(fleet.caller(1), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    REQUIRE(hasResults(fleet, 1, "b", 4));
    const json all = results(fleet, 0, "b");
    CHECK(all == results(fleet, 1, "b"));
    for (const json& result : all) {
        const bool isLong = result["id"] == std::string("a-") + longItem;
        CHECK(result["state"] == "completed");
        CHECK(result["weight_versions"] == json::array({ 1 }));
        CHECK(isWhole(result["output"], isLong ? replica_standin::longEvents : 2));
    }
    CHECK(send(fleet.caller(1), "GET", "/api/items/b?id=a-i-1", nullptr, host).body == "lace");
    CHECK(send(fleet.caller(1), "GET", "/api/lots/other?after=0", nullptr, host).status == 404);
    CHECK(send(fleet.caller(1), "DELETE", "/api/lots/b", nullptr, host).status == 200);
    CHECK(send(fleet.caller(0), "DELETE", "/api/lots/b", nullptr, host).status == 200);
}

TEST_CASE("After all daemons lost power, results keep their places, and a long item goes on with its text so far")
{
    platform_fleet fleet(2);
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 1, "b", 3));
    const json before = results(fleet, 1, "b");
    REQUIRE(before.size() == 3);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keys("keyed.ragwortreach.progress"); }) > 0; }));
    fleet.killAll();
    fleet.run([&fleet] {
        fleet.store().compact();
        // The leases and the saved texts are known before the batches that they belong to.
        fleet.store().setSlowPages("keyed.ragwortreach.batches");
    });
    fleet.start(0);
    fleet.start(1);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    const json after = results(fleet, 0, "b");
    for (std::size_t position = 0; position < before.size(); ++position)
        CHECK(after[position] == before[position]);
    CHECK(isWhole(after[3]["output"], replica_standin::longEvents));
    CHECK(fleet.run([&fleet] { return fleet.engine().resumed(); }) == 1);
    // The saved text goes once its item has its result.
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keys("keyed.ragwortreach.progress"); }) == 0; }));
}

TEST_CASE("A daemon that is asked to stop turns unready, finishes its calls, and leaves its items to another one")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    http_reply order;
    std::thread caller([&fleet, &order] { order = send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-1")); });
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().held(); }) == 1; }));
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    CHECK(hasResults(fleet, 1, "b", 3));
    fleet.daemon(0).signal(SIGTERM);
    fleet.daemon(0).signal(SIGTERM);
    CHECK(waitUntil([&fleet] { return !fleet.isReady(0); }));
    fleet.run([&fleet] { fleet.shop().answerHeld(); });
    caller.join();
    CHECK(order.status == 200);
    CHECK(order.body == "parcel");
    CHECK(fleet.daemon(0).wait() == 0);
    CHECK(hasResults(fleet, 1, "b", 4));
    CHECK(isWhole(results(fleet, 1, "b")[3]["output"], replica_standin::longEvents));
}

TEST_CASE("Items with reward calls are listed with their own rewards, and with no reward before")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", rewardBatch(), headersFor("b")).status == 202);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().held(); }) > 0; }));
    CHECK(results(fleet, 1, "b").empty());
    fleet.run([&fleet] { fleet.shop().failHeld(); });
    fleet.run([&fleet] {
        fleet.shop().setHolding(false);
        fleet.shop().answerHeld();
    });
    REQUIRE(hasResults(fleet, 1, "b", 4));
    for (const json& result : results(fleet, 1, "b")) {
        CHECK(result["state"] == "completed");
        CHECK(result["score"] == "stamp-reward-" + result["id"].get<std::string>());
        CHECK(isWhole(result["output"], 2));
    }
}

TEST_CASE("After all daemons lost power, a text that waits for its reward is not generated again")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", rewardBatch(), headersFor("b")).status == 202);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keys("keyed.ragwortreach.progress"); }) == 4; }));
    fleet.killAll();
    fleet.run([&fleet] { fleet.shop().setHolding(false); });
    fleet.start(0);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    for (const json& result : results(fleet, 0, "b"))
        CHECK(result["score"] == "stamp-reward-" + result["id"].get<std::string>());
    CHECK(fleet.run([&fleet] { return fleet.engine().runs(); }) == 4);
}

TEST_CASE("A batch that is refused while the log is away never runs")
{
    platform_fleet fleet(1);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Refusing); });
    const http_reply refused = send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("refused"));
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(waitUntil([&fleet] { return !fleet.isReady(0); }));
    CHECK(send(fleet.caller(0), "GET", "/api/lots/refused?after=0", nullptr, host).status == 503);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Serving); });
    fleet.waitReady(0);
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", batch("other-"), headersFor("taken")).status == 202);
    REQUIRE(hasResults(fleet, 0, "taken", 4));
    for (const std::string& item : fleet.run([&fleet] { return fleet.engine().started(); }))
        CHECK(item.starts_with("other-"));
    CHECK(send(fleet.caller(0), "GET", "/api/lots/refused?after=0", nullptr, host).status == 404);
}

TEST_CASE("A batch whose record got no answer is not promised anything, and is accepted once when it comes again")
{
    platform_fleet fleet(1);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Mute); });
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 504);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Serving); });
    fleet.waitReady(0);
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    CHECK(results(fleet, 0, "b").size() == 4);
}

TEST_CASE("A daemon that knows no configuration refuses, and serves once it has one")
{
    platform_fleet fleet(1, false);
    REQUIRE(waitUntil([&fleet] { return send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-1")).status == 503; }));
    CHECK_FALSE(fleet.isReady(0));
    fleet.configure(1);
    fleet.waitReady(0);
    CHECK(send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-2")).status == 200);
    CHECK(send(fleet.caller(0), "POST", "/other/1", "linen", headersFor("order-3")).status == 404);
}

TEST_CASE("A version that a trainer names is loaded once")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.store().put("keyed.op", "version/lace-7b", R"({"model_id":"lace-7b","version":2})"); });
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.engine().orders(); }) > 0; }));
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 1, "b", 4));
    CHECK(results(fleet, 1, "b")[0]["weight_versions"] == json::array({ 2 }));
    CHECK(fleet.run([&fleet] { return fleet.engine().orders(); }) == 1);
}
