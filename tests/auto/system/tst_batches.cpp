#include "testfleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace ragwortreach::Tests;
using nlohmann::json;

namespace {

constexpr int groups = 4;
constexpr int samplesPerGroup = 4;
constexpr std::size_t samples = std::size_t { groups } * samplesPerGroup;

const json weights = { { "base", 1 }, { "adapter", 1 } };

/// Opens the batch "step-1" at the daemon \a index.
http_reply openBatch(const test_fleet& fleet, std::size_t index)
{
    json groupList = json::array();
    for (int i = 0; i < groups; ++i)
        groupList.push_back({ { "prompt", "prompt " + std::to_string(i) }, { "count", samplesPerGroup } });
    return fleet.call(index, "POST", "/v1/batches",
        { { "batch", "step-1" }, { "entry", "rollouts" }, { "trainer", "t1" }, { "owner", "pitsinurk" }, { "data_centre", "ee-north-a" }, { "due_ms", 60'000 }, { "max_tokens", 64 }, { "groups", groupList } });
}

/// Trainer that fetches samples of the batch and checks each of them. Tells the daemon in each fetch which ones it
/// holds.
class test_trainer {
public:
    explicit test_trainer(const test_fleet& fleet)
        : m_fleet(fleet)
    {
    }

    std::size_t held() const { return m_held.size(); }

    void fetch(std::size_t index)
    {
        json held = json::array();
        for (const int slot : m_held)
            held.push_back({ slot, slot });
        const http_reply reply = m_fleet.call(index, "POST", "/v1/batches/step-1/fetch",
            { { "fetch", ++m_fetch }, { "version", weights }, { "held", held }, { "max", 64 }, { "wait_ms", 200 } });
        m_lastReply = reply.body;
        if (reply.status != 200 || !reply.isComplete)
            return;
        const json body = reply.json();
        for (const json& sample : body["samples"])
            checkSample(sample);
        m_isComplete = body["complete"] == true;
    }

    /// Fetches until all samples are held; false when that does not happen in time.
    bool fetchAll(std::size_t index)
    {
        const bool hasAll = waitUntil([this, index] {
            fetch(index);
            return held() == samples;
        });
        UNSCOPED_INFO("last reply: " << m_lastReply);
        return hasAll;
    }

    /// Fetches until the daemon reports the batch as complete; false when that does not happen in time.
    bool isComplete(std::size_t index)
    {
        return waitUntil([this, index] {
            fetch(index);
            return m_isComplete;
        });
    }

private:
    void checkSample(const json& sample)
    {
        CAPTURE(sample.dump());
        CHECK(m_held.insert(sample["slot"].get<int>()).second);
        CHECK(sample["group"] == sample["slot"].get<int>() / samplesPerGroup);
        CHECK(sample["reward"].is_number());
        REQUIRE(sample["token_ids"].size() == 12);
        checkLabels(sample);
    }

    /// Checks that the spans cover all tokens without a gap and that each names the weights of the engines.
    static void checkLabels(const json& sample)
    {
        std::size_t position = 0;
        for (const json& span : sample["spans"]) {
            CHECK(span["begin"] == position);
            CHECK(span["weights"] == json::array({ weights }));
            position = span["end"];
        }
        CHECK(position == sample["token_ids"].size());
    }

    const test_fleet& m_fleet;
    std::set<int> m_held;
    int m_fetch = 0;
    bool m_isComplete = false;
    std::string m_lastReply;
};

/// VM that owns the batch according to the daemon \a index; empty when it knows none.
std::string ownerVm(const test_fleet& fleet, std::size_t index)
{
    const json status = fleet.admin(index, "GET", "/status").json();
    for (const json& batch : status.value("batches", json::array())) {
        if (batch["batch"] == "step-1")
            return batch["owner_vm"];
    }
    return {};
}

}

TEST_CASE("A trainer gets each sample of a batch exactly once, labelled with its weight versions")
{
    const test_fleet fleet(3);
    fleet.putEntry("rollouts", rolloutsEntry());
    const http_reply opened = openBatch(fleet, 0);
    CAPTURE(opened.body);
    REQUIRE(opened.status == 201);
    CHECK(openBatch(fleet, 1).status == 200);
    test_trainer trainer(fleet);
    CHECK(trainer.fetchAll(1));
    CHECK(trainer.isComplete(2));
}

TEST_CASE("A batch finishes at another daemon after its owner was killed")
{
    const test_fleet fleet(3, 100);
    fleet.putEntry("rollouts", rolloutsEntry());
    const http_reply opened = openBatch(fleet, 0);
    CAPTURE(opened.body);
    REQUIRE(opened.status == 201);
    std::string owner;
    REQUIRE(waitUntil([&] { return !(owner = ownerVm(fleet, 0)).empty(); }));
    REQUIRE(waitUntil([&] { return fleet.standins().counters(EngineOne)["executions"] > 0 || fleet.standins().counters(EngineTwo)["executions"] > 0; }));
    std::size_t survivor = fleet.size();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.daemon(i).vm() == owner)
            fleet.daemon(i).killAndWait();
        else
            survivor = i;
    }
    REQUIRE(survivor < fleet.size());
    test_trainer trainer(fleet);
    CHECK(trainer.fetchAll(survivor));
    CHECK(trainer.isComplete(survivor));
}

TEST_CASE("An interrupted stream resumes after the tokens that were received")
{
    const test_fleet fleet(2, 20);
    fleet.putEntry("rollouts", rolloutsEntry());
    REQUIRE(openBatch(fleet, 0).status == 201);
    fleet.standins().injectFaults({ { "die_mid_body", 5 } }, EngineOne);
    fleet.standins().injectFaults({ { "die_mid_body", 5 } }, EngineTwo);
    test_trainer trainer(fleet);
    CHECK(trainer.fetchAll(0));
    CHECK(fleet.standins().counters(EngineOne)["events"].value("resume_mismatches", 0) == 0);
    CHECK(fleet.standins().counters(EngineTwo)["events"].value("resume_mismatches", 0) == 0);
}

TEST_CASE("An engine that restarts with its base weights after a crash gets a load order for the current version")
{
    const test_fleet fleet(2, 20);
    fleet.putEntry("rollouts", rolloutsEntry());
    CHECK(fleet.standins().counters(EngineOne)["paths"].value("/orders", 0) == 0);
    fleet.standins().injectFaults({ { "crash", true }, { "crash_ms", 100 } }, EngineOne);
    CHECK(waitUntil([&fleet] {
        const bool isOrdered = fleet.standins().counters(EngineOne).value("/paths/~1orders"_json_pointer, 0) > 0;
        return isOrdered && fleet.standins().get("/state", EngineOne).json()["weights"] == weights;
    }));
    REQUIRE(openBatch(fleet, 0).status == 201);
    test_trainer trainer(fleet);
    CHECK(trainer.fetchAll(1));
}

TEST_CASE("A running batch finishes during an outage of the log")
{
    const test_fleet fleet(3, 20);
    fleet.putEntry("rollouts", rolloutsEntry());
    REQUIRE(openBatch(fleet, 0).status == 201);
    REQUIRE(waitUntil([&fleet] { return fleet.standins().counters(EngineOne)["executions"] > 0 || fleet.standins().counters(EngineTwo)["executions"] > 0; }));
    fleet.standins().injectFaults({ { "log", { { "outage", true } } } });
    test_trainer trainer(fleet);
    CHECK(trainer.fetchAll(1));
}

TEST_CASE("A chunk without weight versions never becomes part of a sample")
{
    const test_fleet fleet(1, 5);
    fleet.putEntry("rollouts", rolloutsEntry());
    fleet.standins().injectFaults({ { "omit_weights", true } }, EngineOne);
    fleet.standins().injectFaults({ { "omit_weights", true } }, EngineTwo);
    REQUIRE(openBatch(fleet, 0).status == 201);
    test_trainer trainer(fleet);
    REQUIRE(waitUntil([&] {
        trainer.fetch(0);
        return fleet.standins().counters(EngineOne)["executions"].get<std::size_t>() + fleet.standins().counters(EngineTwo)["executions"].get<std::size_t>() > samples;
    }));
    CHECK(trainer.held() == 0);
    fleet.standins().injectFaults({ { "omit_weights", false } }, EngineOne);
    fleet.standins().injectFaults({ { "omit_weights", false } }, EngineTwo);
    CHECK(trainer.fetchAll(0));
}
