#include <client/runningstandins.h>

#include <catch2/catch.hpp>

using namespace ragwortreach::Tests;
using nlohmann::json;

TEST_CASE("A service counts each execution exactly once, whatever part of the answer arrives")
{
    struct row {
        const char* fault;
        int status;
        bool isComplete;
        bool hasSurplus;
        int executions;
    };
    const row rows[] = {
        { "none", 200, true, false, 1 },
        { "refuse_unrun", 503, true, false, 0 },
        { "die_before_run", 0, false, false, 0 },
        { "die_before_answer", 0, false, false, 1 },
        { "die_mid_body", 200, false, false, 1 },
        { "answer_twice", 200, true, true, 1 },
    };
    for (const row& expected : rows) {
        CAPTURE(expected.fault);
        const running_standins service(json::array({ { { "role", "service" }, { "service", "bobbin-shop" } } }));
        service.injectFaults({ { expected.fault, 1 } });
        const http_reply reply = send(service.address(), "POST", "/orders/7?x=1", { { "thread", 3 } }, { { "Idempotency-Key", "k1" } });
        CHECK(reply.status == expected.status);
        CHECK(reply.isComplete == expected.isComplete);
        CHECK(reply.trailingBytes.empty() == !expected.hasSurplus);
        CHECK((reply.headers.contains("X-Upstream-Ran")) == (expected.status == 503));
        CHECK(service.counters()["executions"] == expected.executions);
        CHECK(service.counters()["keys"].value("k1", 0) == expected.executions);
        CHECK(service.counters()["paths"].value("/orders/7", 0) == expected.executions);
        CHECK(service.get("/next").json()["execution"] == expected.executions + 1);
    }
}

TEST_CASE("A scorer gives equal tokens an equal reward, and refuses or answers twice only under a fault")
{
    const running_standins scorer(json::array({ { { "role", "scorer" } } }));
    const json sample = { { "sample_id", "s1" }, { "prompt", "p" }, { "token_ids", { 1, 2 } } };
    const json first = scorer.post("/score", sample).json();
    CHECK(first["sample_id"] == "s1");
    CHECK(first["reward"] >= 0.0);
    CHECK(first["reward"] < 1.0);
    CHECK(scorer.post("/score", sample).json() == first);
    scorer.injectFaults({ { "outage", true } });
    CHECK(scorer.post("/score", sample).status == 503);
    CHECK(scorer.counters()["requests"]["s1"] == 2);
    scorer.injectFaults({ { "outage", false }, { "answer_twice", 1 } });
    CHECK_FALSE(scorer.post("/score", sample).trailingBytes.empty());
}
