#include <client/runningstandins.h>

#include <catch2/catch.hpp>

#include <future>
#include <set>

using namespace ragwortreach::Tests;
using nlohmann::json;

namespace {

const json oldWeights = { { "base", 1 }, { "adapter", 3 } };
const json newWeights = { { "base", 1 }, { "adapter", 4 } };

json engine(int tokens, int slots = 8)
{
    return json::array({ { { "role", "engine" }, { "model", "pattern-llm" }, { "weights", oldWeights }, { "token_ms", 1 }, { "tokens", tokens }, { "slots", slots } } });
}

json call(bool isStreamed, const std::vector<int>& resumed = {})
{
    return { { "prompt", "ground" }, { "max_tokens", 1000 }, { "seed", 5 }, { "stream", isStreamed }, { "request_id", "r1" }, { "resume_token_ids", resumed } };
}

std::vector<int> tokens(const http_reply& reply)
{
    std::vector<int> result;
    for (const json& event : reply.events()) {
        const std::vector<int> part = event["choices"][0]["token_ids"];
        result.insert(result.end(), part.begin(), part.end());
    }
    return result;
}

std::set<json> versions(const http_reply& reply)
{
    std::set<json> result;
    for (const json& event : reply.events())
        result.insert(event["weights"].begin(), event["weights"].end());
    return result;
}

int orderLoad(const running_standins& engine, int fencing)
{
    return engine.post("/orders", { { "order", "load" }, { "weights", newWeights }, { "fencing", fencing } }).status;
}

bool isLoaded(const running_standins& engine)
{
    return waitUntil([&engine] { return !engine.get("/state").json()["loading"]; });
}

}

TEST_CASE("A resumed stream continues with the tokens that an uninterrupted one has")
{
    const running_standins server(engine(12));
    const std::vector<int> completeTokens = server.post("/v1/completions", call(false)).json()["choices"][0]["token_ids"];
    REQUIRE(completeTokens.size() == 12);
    server.injectFaults({ { "die_mid_body", 1 } });
    const http_reply truncated = server.post("/v1/completions", call(true));
    std::vector<int> received = tokens(truncated);
    CHECK_FALSE(truncated.isComplete);
    CHECK(received.size() < completeTokens.size());
    const http_reply resumed = server.post("/v1/completions", call(true, received));
    CHECK(resumed.isComplete);
    CHECK(resumed.isDone());
    CHECK(resumed.events().back()["choices"][0]["finish_reason"] == "stop");
    const std::vector<int> rest = tokens(resumed);
    received.insert(received.end(), rest.begin(), rest.end());
    CHECK(received == completeTokens);
    CHECK(server.counters()["requests"]["r1"] == 3);
    CHECK(server.counters()["events"].value("resume_mismatches", 0) == 0);
    server.post("/v1/completions", call(false, { 1 }));
    CHECK(server.counters()["events"].value("resume_mismatches", 0) == 1);
}

TEST_CASE("Chunks name the weight versions that produced them, after complete, failed and partly failed swaps")
{
    struct row {
        json faults;
        json reported;
        std::set<json> used;
    };
    const row rows[] = {
        { json::object(), newWeights, { newWeights } },
        { { { "swap_fails", 1 } }, oldWeights, { oldWeights } },
        { { { "swap_fails_partway", 1 } }, oldWeights, { oldWeights, newWeights } },
        { { { "keep_cache", true } }, newWeights, { oldWeights, newWeights } },
    };
    for (const row& expected : rows) {
        CAPTURE(expected.faults.dump());
        const running_standins server(engine(8));
        CHECK(versions(server.post("/v1/completions", call(true))) == std::set<json> { oldWeights });
        server.injectFaults(expected.faults);
        REQUIRE(orderLoad(server, 1) == 202);
        REQUIRE(isLoaded(server));
        CHECK(server.get("/state").json()["weights"] == expected.reported);
        CHECK(versions(server.post("/v1/completions", call(true))) == expected.used);
    }
}

TEST_CASE("Chunks of a running stream name the new weights as soon as a swap has finished")
{
    const running_standins server(engine(1'000'000));
    std::future<http_reply> stream = std::async(std::launch::async, [&server] {
        return send(server.address(), "POST", "/v1/completions", { { "prompt", "p" }, { "stream", true }, { "request_id", "r2" } });
    });
    REQUIRE(waitUntil([&server] { return server.get("/load").json()["running"] == 1; }));
    orderLoad(server, 1);
    REQUIRE(isLoaded(server));
    server.post("/v1/cancel", { { "request_id", "r2" } });
    const http_reply reply = stream.get();
    CHECK(reply.events().back()["choices"][0]["finish_reason"] == "cancelled");
    bool hasChanged = false;
    for (const json& event : reply.events()) {
        hasChanged = hasChanged || event["weights"] == json::array({ newWeights });
        CHECK(event["weights"] == json::array({ hasChanged ? newWeights : oldWeights }));
    }
}

TEST_CASE("An engine refuses orders with an older fencing number unless ignore_fencing is on")
{
    const running_standins server(engine(4));
    CHECK(orderLoad(server, 5) == 202);
    CHECK(orderLoad(server, 4) == 409);
    CHECK(orderLoad(server, 5) == 202);
    server.injectFaults({ { "ignore_fencing", true } });
    CHECK(orderLoad(server, 4) == 202);
    CHECK(server.counters()["paths"]["/orders"] == 3);
}

TEST_CASE("The faults refuse_unrun and omit_weights refuse a call unexecuted and leave out the weight versions")
{
    const running_standins server(engine(4));
    server.injectFaults({ { "omit_weights", true }, { "refuse_unrun", 1 } });
    CHECK(server.post("/v1/completions", call(false)).headers.at("X-Upstream-Ran") == "no");
    CHECK(server.counters()["executions"] == 0);
    CHECK_FALSE(server.post("/v1/completions", call(false)).json().contains("weights"));
}

TEST_CASE("A crash closes running and waiting calls, and the engine restarts with its base weights")
{
    const running_standins server(engine(1'000'000, 1));
    std::future<http_reply> running = std::async(std::launch::async, [&server] { return server.post("/v1/completions", { { "stream", true } }); });
    REQUIRE(waitUntil([&server] { return server.get("/load").json()["running"] == 1; }));
    std::future<http_reply> waiting = std::async(std::launch::async, [&server] { return server.post("/v1/completions", { { "stream", true } }); });
    REQUIRE(waitUntil([&server] { return server.get("/load").json()["waiting"] == 1; }));
    server.injectFaults({ { "crash", true }, { "crash_ms", 10 } });
    CHECK_FALSE(running.get().isComplete);
    CHECK(waiting.get().status == 0);
    REQUIRE(waitUntil([&server] { return server.get("/state").status == 200; }));
    CHECK(server.get("/state").json()["weights"] == json({ { "base", 1 }, { "adapter", 0 } }));
}

TEST_CASE("Cache events can have gaps and be late, and the reported load can be late")
{
    const running_standins server(engine(2));
    server.injectFaults({ { "cache_gap_every", 2 }, { "load_lag_ms", 600'000 } });
    for (int i = 0; i < 4; ++i)
        server.post("/v1/completions", { { "prompt", "p" + std::to_string(i) } });
    const json events = server.get("/cache_events?from=0").json()["events"];
    REQUIRE(events.size() == 2);
    CHECK(events[0]["offset"] == 1);
    CHECK(events[1]["offset"] == 3);
    CHECK(server.get("/load").json() == json({ { "age_ms", 600'000 }, { "running", 0 }, { "waiting", 0 } }));
    server.injectFaults({ { "cache_lag_ms", 600'000 } });
    CHECK(server.get("/cache_events?from=0").json()["events"].empty());
}

TEST_CASE("An engine repeats its load request until the weight store admits it")
{
    json servers = engine(2);
    const running_standins store(json::array({ { { "role", "platform" }, { "faults", { { "weight_store", { { "outage", true } } } } } } }));
    servers[0]["weight_store"] = store.address();
    const running_standins server(servers);
    orderLoad(server, 1);
    CHECK(server.get("/state").json()["loading"] == true);
    store.injectFaults({ { "weight_store", { { "outage", false } } } });
    REQUIRE(isLoaded(server));
    CHECK(server.get("/state").json()["weights"] == newWeights);
    CHECK(store.counters()["paths"]["/models/pattern-llm/loads"] == 1);
}
