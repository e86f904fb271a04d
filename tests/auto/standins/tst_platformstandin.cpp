#include <client/runningstandins.h>

#include <catch2/catch.hpp>

#include <future>

using namespace ragwortreach::Tests;
using nlohmann::json;

namespace {

const json platform = json::array({ { { "role", "platform" }, { "vms", { { { "vm", "a" } } } }, { "models", { { "m", { { { "base", 1 }, { "adapter", 1 } } } } } } } });

json records(int count)
{
    json list = json::array();
    for (int i = 0; i < count; ++i)
        list.push_back({ { "id", "r" + std::to_string(i) }, { "data", i } });
    return { { "records", list } };
}

std::vector<int> offsets(const http_reply& reply)
{
    std::vector<int> result;
    const json body = reply.json();
    for (const json& record : body.value("records", json::array()))
        result.push_back(record["offset"]);
    return result;
}

}

TEST_CASE("The log numbers records in order and stores each append, also of an id that it has already")
{
    const running_standins log(platform);
    CHECK(log.get("/streams/s/records?from=0").json()["end"] == 0);
    CHECK(log.post("/streams/s/records", records(3)).json() == json({ { "first", 0 }, { "next", 3 } }));
    CHECK(log.post("/streams/s/records", records(2)).json() == json({ { "first", 3 }, { "next", 5 } }));
    CHECK(offsets(log.get("/streams/s/records?from=1&max=3")) == std::vector<int> { 1, 2, 3 });
    CHECK(log.get("/streams/s/records?from=1&max=3").json()["next"] == 4);
    CHECK(log.get("/streams/other/records?from=0").json()["end"] == 0);
    CHECK(log.post("/streams/s/records", json::object()).status == 400);
}

TEST_CASE("Faults of the log answer as its protocol defines")
{
    const running_standins log(platform);
    log.post("/streams/s/records", records(5));
    SECTION("A lost reply leaves the records in the log")
    {
        log.injectFaults({ { "log", { { "lose_reply_after_write", 1 } } } });
        CHECK(log.post("/streams/s/records", records(1)).status == 0);
        CHECK(log.post("/streams/s/records", records(1)).status == 200);
        CHECK(offsets(log.get("/streams/s/records?from=5")) == std::vector<int> { 5, 6 });
    }
    SECTION("Reads of records beyond retention get status 410 and the first retained offset")
    {
        log.injectFaults({ { "log", { { "retention_records", 2 } } } });
        const http_reply reply = log.get("/streams/s/records?from=2");
        CHECK(reply.status == 410);
        CHECK(reply.json() == json({ { "first_retained", 3 }, { "end", 5 } }));
        CHECK(offsets(log.get("/streams/s/records?from=3")) == std::vector<int> { 3, 4 });
    }
    SECTION("A read skips the records of a gap and continues after them")
    {
        log.injectFaults({ { "log", { { "gap", { { "stream", "s" }, { "first", 1 }, { "last", 3 } } } } } });
        CHECK(offsets(log.get("/streams/s/records?from=0")) == std::vector<int> { 0, 3, 4 });
        CHECK(log.get("/streams/s/records?from=0").json()["next"] == 5);
    }
    SECTION("An outage refuses reads and appends, and appends nothing")
    {
        log.injectFaults({ { "log", { { "outage", true } } } });
        CHECK(log.post("/streams/s/records", records(1)).status == 503);
        CHECK(log.get("/streams/s/records?from=0").status == 503);
        log.injectFaults({ { "log", { { "outage", false } } } });
        CHECK(log.get("/streams/s/records?from=0").json()["end"] == 5);
    }
    SECTION("A waiting read is answered with the next record")
    {
        std::future<http_reply> waiting = std::async(std::launch::async, [&log] { return log.get("/streams/s/records?from=5&wait_ms=50000"); });
        REQUIRE(waitUntil([&log] { return log.counters()["events"].value("reads", 0) == 1; }));
        log.post("/streams/s/records", records(1));
        CHECK(offsets(waiting.get()) == std::vector<int> { 5 });
    }
}

TEST_CASE("The VM list can lag, return to an older revision and fail")
{
    const running_standins list(platform);
    send(list.address(), "PUT", "/_standin/vms", { { "vms", json::array() } });
    struct row {
        json faults;
        int status;
        int revision;
    };
    const row rows[] = {
        { json::object(), 200, 2 },
        { { { "lag_ms", 600'000 } }, 200, 1 },
        { { { "older_revision", 1 } }, 200, 1 },
        { { { "older_revision", 9 } }, 200, 1 },
        { { { "outage", true } }, 503, 0 },
    };
    for (const row& expected : rows) {
        CAPTURE(expected.faults.dump());
        list.injectFaults({ { "vm_list", nullptr } });
        list.injectFaults({ { "vm_list", expected.faults } });
        CHECK(list.get("/vms").status == expected.status);
        CHECK(list.get("/vms").json().value("revision", 0) == expected.revision);
    }
}

TEST_CASE("The weight store sorts versions and refuses loads above its rate limit")
{
    const running_standins store(platform);
    store.post("/models/m/versions", { { "base", 1 }, { "adapter", 10 } });
    store.post("/models/m/versions", { { "base", 1 }, { "adapter", 9 } });
    store.post("/models/m/versions", { { "base", 1 }, { "adapter", 9 } });
    const json versions = store.get("/models/m/versions").json()["versions"];
    REQUIRE(versions.size() == 3);
    CHECK(versions[1]["adapter"] == 9);
    CHECK(versions[2]["adapter"] == 10);
    store.injectFaults({ { "weight_store", { { "rate_per_second", 1 } } } });
    http_reply reply;
    REQUIRE(waitUntil([&] { return (reply = store.post("/models/m/loads", versions[1])).status == 429; }));
    CHECK(reply.headers.at("Retry-After") == "1");
    store.injectFaults({ { "weight_store", { { "outage", true } } } });
    CHECK(store.get("/models/m/versions").status == 503);
}
