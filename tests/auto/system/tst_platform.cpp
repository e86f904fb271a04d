#include "platformfleet.h"

#include <client/testclient.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace ragwortreach::Tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char* longItem = "i-long";

const header_map hostHeader { { "Host", "lace.example" } };

header_map headersFor(const std::string& id)
{
    return { { "Host", "lace.example" }, { "Request-Id", id }, { "Deadline-Ms", "60000" } };
}

/// Batch of three short items and a long one, each in a group of its own. Item ids start with \a prefix, and the items
/// are for the rollout route called \a route.
json batch(const std::string& prefix, const std::string& route = "lots")
{
    json items = json::array();
    for (const char* name : { "i-1", "i-2", "i-3", longItem })
        items.push_back({ { "id", prefix + name }, { "path", "/" + route + "/1" }, { "headers", json::object() }, { "body", "bGFjZQ==" }, { "token_count", 90 }, { "group_id", prefix + name } });
    return { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", 4 }, { "items", items } };
}

/// Batch of four short items, each in a group of its own and with a reward call.
json rewardBatch()
{
    json items = json::array();
    for (const std::string name : { "i-1", "i-2", "i-3", "i-4" }) {
        const json reward { { "id", "reward-" + name }, { "host", "lace.example" }, { "path", "/score/1" }, { "body", "bGFjZQ==" } };
        items.push_back({ { "id", name }, { "path", "/lots/1" }, { "body", "bGFjZQ==" }, { "group_id", name }, { "scorer", reward } });
    }
    return { { "train_step", 1 }, { "model_id", "lace-7b" }, { "min_version", 1 }, { "group_count", 4 }, { "items", items } };
}

/// Results of the batch \a id that the daemon lists; empty when it answers with an error.
json results(const platform_fleet& fleet, std::size_t daemon, const std::string& id)
{
    const http_reply reply = send(fleet.caller(daemon), "GET", "/api/lots/" + id + "?after=0", nullptr, hostHeader);
    return reply.status == 200 ? reply.json()["results"] : json::array();
}

/// Waits until the daemon lists at least \a count results of the batch \a id; false when that does not happen in time.
bool hasResults(const platform_fleet& fleet, std::size_t daemon, const std::string& id, std::size_t count)
{
    return waitUntil([&fleet, daemon, &id, count] { return results(fleet, daemon, id).size() >= count; });
}

/// Whether \a text consists of the data of the events 1 to \a events, each once and in order.
bool hasAllEvents(const std::string& text, int events)
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

/// Adds a route while daemon \a refused of two, and no other one, cannot read the configuration, and submits a batch on it at
/// the other daemon. Returns the name of the route, which is also the id of the batch; \a added: the routes added so far.
std::string submitOnAddedRoute(platform_fleet& fleet, std::size_t refused, std::vector<std::string>& added)
{
    std::string route = "added-" + std::to_string(refused);
    added.push_back(route);
    fleet.refuseConfiguration(refused);
    // A read under way still gets its answer, after half a second at most.
    std::this_thread::sleep_for(800ms);
    fleet.configure(static_cast<int>(2 + refused), added);
    REQUIRE(waitUntil([&fleet, refused, &route] { return send(fleet.caller(1 - refused), "POST", "/" + route + "/b", batch(route, route), headersFor(route)).status == 202; }));
    return route;
}

/// Callers that keep calling the shop through each daemon of a fleet until they are stopped.
class caller_group {
public:
    explicit caller_group(const platform_fleet& fleet, std::size_t daemons, std::string path = "/orders/1")
        : m_path(std::move(path))
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            m_threads.emplace_back([this, &fleet, daemon] { callUntilStopped(fleet, daemon); });
    }
    ~caller_group() { stop(); }

    void stop()
    {
        m_isStopped = true;
        for (std::thread& thread : std::exchange(m_threads, {}))
            thread.join();
    }
    /// Number of answers that were neither 200 nor 503 with a time to return.
    int wrongAnswers() const { return m_wrongAnswers; }

private:
    void callUntilStopped(const platform_fleet& fleet, std::size_t daemon)
    {
        for (int number = 0; !m_isStopped; ++number) {
            const std::string id = "order-" + std::to_string(daemon) + "-" + std::to_string(number);
            const http_reply reply = send(fleet.caller(daemon), "POST", m_path, "linen-" + id, headersFor(id));
            if (reply.status != 200 && !(reply.status == 503 && reply.headers.contains("Retry-After")))
                ++m_wrongAnswers;
            std::this_thread::sleep_for(20ms);
        }
    }

    std::string m_path;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_wrongAnswers = 0;
    std::vector<std::thread> m_threads;
};

}

TEST_CASE("A replica that names a limit gets no more than that from all daemons together, and nine tenths of it while callers wait")
{
    static constexpr int perSecond = 5;
    constexpr int seconds = 4;
    platform_fleet fleet(3);
    fleet.run([&fleet] { fleet.shop().setLimit(perSecond); });
    caller_group callers(fleet, 3);
    std::this_thread::sleep_for(2s);
    const int before = fleet.run([&fleet] { return fleet.shop().runs(); });
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const int runs = fleet.run([&fleet] { return fleet.shop().runs(); }) - before;
    CHECK(runs <= perSecond * seconds * 21 / 20 + 1);
    CHECK(runs >= perSecond * seconds * 9 / 10);
    fleet.run([&fleet] { fleet.shop().setLimit(std::nullopt); });
    CHECK(waitUntil([&fleet, start = runs + before] { return fleet.run([&fleet] { return fleet.shop().runs(); }) > start + 10 * perSecond; }));
    callers.stop();
    CHECK(callers.wrongAnswers() == 0);
}

TEST_CASE("A request that ends the replicas that run it ends three, at whatever daemon it comes again, and others are served")
{
    platform_fleet fleet(3);
    fleet.addShops(4);
    caller_group callers(fleet, 3, "/score/1");
    std::this_thread::sleep_for(1500ms);
    int attempt = 0;
    const auto sendDeadly = [&fleet, &attempt] {
        const header_map headers = headersFor("deadly-" + std::to_string(++attempt));
        return send(fleet.caller(static_cast<std::size_t>(attempt) % 3), "POST", "/score/1", std::string(replica_standin::deadlyText), headers).status;
    };
    while (attempt < 15) {
        sendDeadly();
        std::this_thread::sleep_for(200ms);
    }
    // The last trial waits while a daemon is thought to be out of sight, which a busy machine may cause.
    CHECK(waitUntil([&sendDeadly] { return sendDeadly() == 400; }));
    for (int daemon = 0; daemon < 3; ++daemon)
        CHECK(sendDeadly() == 400);
    callers.stop();
    CHECK(fleet.shopCrashes() == 3);
    CHECK(callers.wrongAnswers() == 0);
}

TEST_CASE("A replica that announces its leaving while the store is silent gets no request from any daemon, and no caller loses anything")
{
    platform_fleet fleet(3);
    fleet.addShops(2);
    std::this_thread::sleep_for(1500ms);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Unresponsive); });
    caller_group callers(fleet, 3);
    std::this_thread::sleep_for(500ms);
    const int runsBefore = fleet.run([&fleet] {
        fleet.shop().setHolding(true);
        return fleet.shop().runs();
    });
    // One call is under way at the replica when it answers another daemon's call with its announcement.
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().heldCount(); }) > 0; }));
    fleet.run([&fleet] {
        fleet.shop().setLeaving(true);
        fleet.shop().setHolding(false);
        fleet.shop().answerHeld();
    });
    std::this_thread::sleep_for(300ms);
    const int runs = fleet.run([&fleet] { return fleet.shop().runs(); });
    const int others = fleet.runsAtMoreShops();
    std::this_thread::sleep_for(2s);
    callers.stop();
    CHECK(runs > runsBefore);
    CHECK(fleet.run([&fleet] { return fleet.shop().runs(); }) == runs);
    CHECK(fleet.runsAtMoreShops() > others + 60);
    CHECK(callers.wrongAnswers() == 0);
}

TEST_CASE("All daemons list the same results in the same order, complete and with weight versions")
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
        CHECK(hasAllEvents(result["output"], isLong ? replica_standin::longEvents : 2));
    }
    CHECK(send(fleet.caller(1), "GET", "/api/items/b?id=a-i-1", nullptr, hostHeader).body == "lace");
    CHECK(send(fleet.caller(1), "GET", "/api/lots/other?after=0", nullptr, hostHeader).status == 404);
    CHECK(send(fleet.caller(1), "DELETE", "/api/lots/b", nullptr, hostHeader).status == 200);
    CHECK(send(fleet.caller(0), "DELETE", "/api/lots/b", nullptr, hostHeader).status == 200);
}

// A daemon abandoned all items of a batch whose route it had not read yet.
TEST_CASE("A batch on a route that was just added is not abandoned by a daemon that cannot read the configuration")
{
    platform_fleet fleet(2);
    // One of the two daemons runs the items of the model.
    std::vector<std::string> added;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const std::string route = submitOnAddedRoute(fleet, daemon, added);
        std::this_thread::sleep_for(1s);
        fleet.refuseNothing();
        REQUIRE(hasResults(fleet, 1 - daemon, route, 4));
        for (const json& result : results(fleet, 1 - daemon, route))
            CHECK(result["state"] == "completed");
    }
}

// The owner of a model waited for the configuration of a batch, and renewed its leases meanwhile.
TEST_CASE("Batches waited for an owner that could not read the configuration under which they were accepted")
{
    platform_fleet fleet(2);
    // One of the two daemons owns the model.
    std::vector<std::string> added;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const std::string route = submitOnAddedRoute(fleet, daemon, added);
        CHECK(waitUntil([&fleet, daemon, &route] { return results(fleet, 1 - daemon, route).size() == 4; }, std::chrono::steady_clock::now() + 10s));
        fleet.refuseNothing();
        fleet.waitReady(daemon);
    }
}

TEST_CASE("After all daemons were killed, results keep their positions and a long item resumes from its partial text")
{
    platform_fleet fleet(2);
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 1, "b", 3));
    const json before = results(fleet, 1, "b");
    REQUIRE(before.size() == 3);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keyCount("keyed.ragwortreach.progress"); }) > 0; }));
    fleet.killAll();
    fleet.run([&fleet] {
        fleet.store().compact();
        // Delays the topic of the batches, so that the daemons read leases and partial texts before the batches they
        // belong to.
        fleet.store().setSlowPages("keyed.ragwortreach.journal");
    });
    fleet.start(0);
    fleet.start(1);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    const json after = results(fleet, 0, "b");
    for (std::size_t position = 0; position < before.size(); ++position)
        CHECK(after[position] == before[position]);
    CHECK(hasAllEvents(after[3]["output"], replica_standin::longEvents));
    CHECK(fleet.run([&fleet] { return fleet.engine().resumedRuns(); }) == 1);
    // The partial text is deleted once its item has a result.
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keyCount("keyed.ragwortreach.progress"); }) == 0; }));
}

TEST_CASE("A daemon that is stopped with SIGTERM becomes unready, finishes its calls and hands its items over to another daemon")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    http_reply order;
    std::thread caller([&fleet, &order] { order = send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-1")); });
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().heldCount(); }) == 1; }));
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
    CHECK(hasAllEvents(results(fleet, 1, "b")[3]["output"], replica_standin::longEvents));
}

// Texts that a stopping daemon handed over stood in the journal, whose tail all daemons read.
TEST_CASE("The next owner resumes the long item of a daemon that was stopped, and its text is no record of the journal")
{
    platform_fleet fleet(1);
    const auto keyCount = [&fleet](const char* topic) { return fleet.run([&fleet, topic] { return fleet.store().keyCount(topic); }); };
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 0, "b", 3));
    const std::size_t journalKeys = keyCount("keyed.ragwortreach.journal");
    fleet.daemon(0).signal(SIGTERM);
    CHECK(fleet.daemon(0).wait() == 0);
    CHECK(keyCount("keyed.ragwortreach.journal") == journalKeys);
    CHECK(keyCount("keyed.ragwortreach.progress") == 1);
    fleet.start(0);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    CHECK(hasAllEvents(results(fleet, 0, "b")[3]["output"], replica_standin::longEvents));
    CHECK(fleet.run([&fleet] { return fleet.engine().resumedRuns(); }) == 1);
    CHECK(keyCount("keyed.ragwortreach.journal") == journalKeys + 1);
    CHECK(waitUntil([&keyCount] { return keyCount("keyed.ragwortreach.progress") == 0; }));
}

// Requests that came late in the grace of a planned stop were passed on, run, and cut without an answer.
TEST_CASE("Late in its stop a daemon refuses what it may not finish, serves the rest, and ends what is open with an answer")
{
    platform_fleet fleet(1, true, 6s);
    const auto order = [&fleet](const std::string& id) { return send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor(id)); };
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    http_reply early;
    std::thread caller([&order, &early] { early = order("early"); });
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().heldCount(); }) == 1; }));
    fleet.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(3s);
    http_reply late = order("late");
    const http_reply list = send(fleet.caller(0), "GET", "/api/lots/other?after=0", nullptr, hostHeader);
    caller.join();
    CHECK(late.status == 503);
    CHECK(late.headers.contains("Retry-After"));
    CHECK(late.headers["Connection"] == "close");
    CHECK_FALSE(fleet.run([&fleet] { return fleet.shop().startedIds().contains("late"); }));
    CHECK(list.status == 404);
    CHECK(early.status == 504);
    CHECK(fleet.daemon(0).wait() == 0);
}

// Odd entries in the list of replicas ended every daemon that read them, again at each start.
TEST_CASE("Odd entries in the list of replicas end no daemon, and the sound replicas are used")
{
    platform_fleet fleet(2);
    const std::string deep = std::string(130930, '[') + std::string(130930, ']');
    const std::string begin = R"({"service":"shop","address":"127.0.0.1:1","zone":"north-a","state":"ready","seq_no":1,"born":1,)";
    fleet.run([&fleet, &deep, &begin] {
        fleet.store().put("keyed.servers", "odd-1", begin + R"("slots":8,"models":)" + deep + "}");
        fleet.store().put("keyed.servers", "odd-2", begin + R"("slots":1e300})");
        fleet.store().put("keyed.servers", "odd-3", deep);
        fleet.store().put("keyed.servers", "odd-4", R"({"service":"shop","address":"127.0.0.1:99999","zone":"north-a","slots":8,"state":"ready","seq_no":1})");
        // Another writer overwrites the entry of a replica that is alive and writes it again.
        fleet.store().put("keyed.servers", "shop-1", begin + R"("slots":-1})");
        fleet.shop().writeEntry();
    });
    for (int number = 0; number < 40; ++number)
        CHECK(send(fleet.caller(static_cast<std::size_t>(number) % 2), "POST", "/orders/1", "linen", headersFor("order-" + std::to_string(number))).status == 200);
    fleet.killAll();
    fleet.start(0);
    fleet.waitReady(0);
    CHECK(send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-again")).status == 200);
}

// Nested or unsendable headers of an item ended the daemon that took or ran its batch.
TEST_CASE("A batch whose items cannot be read or sent is rejected, and the daemon serves on")
{
    platform_fleet fleet(1);
    json unsendable = batch("a-");
    unsendable["items"][0]["headers"]["Long"] = std::string(70000, 'x');
    CHECK(send(fleet.caller(0), "POST", "/lots/b", unsendable, headersFor("unsendable")).status == 400);
    json nested = json::array();
    for (int level = 0; level < 100; ++level)
        nested = json::array({ nested });
    json deep = batch("a-");
    deep["items"][0]["headers"] = nested;
    CHECK(send(fleet.caller(0), "POST", "/lots/b", deep, headersFor("deep")).status == 400);
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("sound")).status == 202);
    CHECK(hasResults(fleet, 0, "sound", 4));
}

TEST_CASE("Items with reward calls are listed only once they have their reward, each with its own")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", rewardBatch(), headersFor("b")).status == 202);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.shop().heldCount(); }) > 0; }));
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
        CHECK(hasAllEvents(result["output"], 2));
    }
}

TEST_CASE("After all daemons were killed, a complete text that waits for its reward is not generated again")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.shop().setHolding(true); });
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", rewardBatch(), headersFor("b")).status == 202);
    REQUIRE(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.store().keyCount("keyed.ragwortreach.progress"); }) == 4; }));
    fleet.killAll();
    fleet.run([&fleet] { fleet.shop().setHolding(false); });
    fleet.start(0);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    for (const json& result : results(fleet, 0, "b"))
        CHECK(result["score"] == "stamp-reward-" + result["id"].get<std::string>());
    CHECK(fleet.run([&fleet] { return fleet.engine().runs(); }) == 4);
}

// The log refused the append for good; it was repeated without end, and all contents behind it waited.
TEST_CASE("A batch larger than an append blocked a partition of the log")
{
    platform_fleet fleet(2);
    json large = batch("large-");
    for (json& item : large["items"])
        item["body"] = std::string(1000000, 'A');
    CHECK(send(fleet.caller(0), "POST", "/lots/b", large, headersFor("large")).status == 202);
    for (int number = 0; number < 12; ++number) {
        const std::string id = "small-" + std::to_string(number);
        json small = batch(id);
        small["items"][0]["body"] = std::string(2000, 'A');
        CHECK(send(fleet.caller(0), "POST", "/lots/b", small, headersFor(id)).status == 202);
    }
    REQUIRE(hasResults(fleet, 1, "large", 4));
    fleet.killAll();
    fleet.start(1);
    fleet.waitReady(1);
    CHECK(hasResults(fleet, 1, "large", 4));
}

TEST_CASE("A batch with more items than the log can hold is refused for good, and the next one is accepted")
{
    platform_fleet fleet(1);
    json many = batch("a-");
    const json item = many["items"][0];
    for (int number = 0; number < 20000; ++number) {
        many["items"].push_back(item);
        many["items"].back()["id"] = "item-" + std::to_string(number);
    }
    const http_reply refused = send(fleet.caller(0), "POST", "/lots/b", many, headersFor("many"));
    CHECK(refused.status == 413);
    CHECK(refused.body.find("fewer items") != std::string::npos);
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("b-"), headersFor("few")).status == 202);
    CHECK(hasResults(fleet, 0, "few", 4));
}

namespace {

struct id_case {
    const char* name;
    std::string batch;
    std::string item;
    int status;
};

const id_case idCases[] = {
    { "as long as possible", std::string(80, 'b'), std::string(80, 'i'), 202 },
    { "a long item", "b-1", std::string(157, 'i'), 202 },
    { "one byte too long", std::string(81, 'b'), std::string(80, 'i'), 400 },
    { "a batch longer than a key", std::string(230, 'b'), "i", 400 },
    { "an item longer than a key", "b-2", std::string(230, 'i'), 400 },
    { "an item with the name of the contents", "b-3", "*", 400 },
    { "a batch that no path can name", "b/4", "i", 400 },
    { "a sound batch", "b-5", "i", 202 },
};

}

// The keys of their records could not be read back.
TEST_CASE("Batches with long ids were accepted and never ran")
{
    platform_fleet fleet(1);
    for (const id_case& row : idCases) {
        INFO(row.name);
        json submission = batch("");
        submission["items"] = json::array({ submission["items"][0] });
        submission["items"][0]["id"] = row.item;
        submission["items"][0]["body"] = std::string(2000, 'A');
        const int status = send(fleet.caller(0), "POST", "/lots/b", submission, headersFor(row.batch)).status;
        CHECK(status == row.status);
        if (status == 202)
            REQUIRE(hasResults(fleet, 0, row.batch, 1));
    }
}

TEST_CASE("A batch that is refused during an outage of the log never runs")
{
    platform_fleet fleet(1);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Refusing); });
    const http_reply refused = send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("refused"));
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(waitUntil([&fleet] { return !fleet.isReady(0); }));
    CHECK(send(fleet.caller(0), "GET", "/api/lots/refused?after=0", nullptr, hostHeader).status == 503);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Serving); });
    fleet.waitReady(0);
    REQUIRE(send(fleet.caller(0), "POST", "/lots/b", batch("other-"), headersFor("taken")).status == 202);
    REQUIRE(hasResults(fleet, 0, "taken", 4));
    for (const std::string& item : fleet.run([&fleet] { return fleet.engine().startedIds(); }))
        CHECK(item.starts_with("other-"));
    CHECK(send(fleet.caller(0), "GET", "/api/lots/refused?after=0", nullptr, hostHeader).status == 404);
}

TEST_CASE("A batch whose append got no answer from the log fails with 504, and is accepted once when it is submitted again")
{
    platform_fleet fleet(1);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Unresponsive); });
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 504);
    fleet.run([&fleet] { fleet.store().setBehaviour(store_behaviour::Serving); });
    fleet.waitReady(0);
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 0, "b", 4));
    CHECK(results(fleet, 0, "b").size() == 4);
}

TEST_CASE("A daemon without a configuration refuses calls, and serves them as soon as it has one")
{
    platform_fleet fleet(1, false);
    REQUIRE(waitUntil([&fleet] { return send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-1")).status == 503; }));
    CHECK_FALSE(fleet.isReady(0));
    fleet.configure(1);
    fleet.waitReady(0);
    CHECK(send(fleet.caller(0), "POST", "/orders/1", "linen", headersFor("order-2")).status == 200);
    CHECK(send(fleet.caller(0), "POST", "/other/1", "linen", headersFor("order-3")).status == 404);
}

TEST_CASE("A weight version that a trainer publishes is loaded once")
{
    platform_fleet fleet(2);
    fleet.run([&fleet] { fleet.store().put("keyed.op", "version/lace-7b", R"({"model_id":"lace-7b","version":2})"); });
    CHECK(waitUntil([&fleet] { return fleet.run([&fleet] { return fleet.engine().orderCount(); }) > 0; }));
    CHECK(send(fleet.caller(0), "POST", "/lots/b", batch("a-"), headersFor("b")).status == 202);
    REQUIRE(hasResults(fleet, 1, "b", 4));
    CHECK(results(fleet, 1, "b")[0]["weight_versions"] == json::array({ 2 }));
    CHECK(fleet.run([&fleet] { return fleet.engine().orderCount(); }) == 1);
}
