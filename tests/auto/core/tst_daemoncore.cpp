#include "daemonsimulation.h"

#include <core/cataloguereader.h>
#include <core/membership.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;
using namespace ragwortreach::Test;
using nlohmann::json;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::uint32_t slots = 16;

const std::string orderEntry = R"({"owner":"o","class":"customer","kind":"service","upstream":"shop","due_ms":2000})";
const std::string trainingEntry = R"({"owner":"o","class":"training","kind":"model","upstream":"llm","scorer":"scorer",
    "idempotent":true,"staleness":{"versions":1,"age_ms":600000}})";

void putEntries(daemon_simulation& world)
{
    const request_number order = world.edit(0, "edit-order", "orders", 0, orderEntry);
    const request_number training = world.edit(1, "edit-training", "rollouts", 0, trainingEntry);
    REQUIRE(world.runUntil([&] { return world.answer(order) && world.answer(training); }, std::chrono::seconds(5)));
    REQUIRE(world.answer(order)->httpStatus == 200);
    world.run(std::chrono::seconds(1));
}

call_arrived orderCall(request_number number, const std::string& key, std::uint64_t bodyHash)
{
    call_arrived call;
    call.number = number;
    call.requestId = "request-" + std::to_string(number);
    call.entry = "orders";
    call.idempotencyKey = key;
    call.bodyHash = bodyHash;
    return call;
}

request_number sendOrder(daemon_simulation& world, std::size_t daemon, const std::string& key, std::uint64_t bodyHash = 1)
{
    return world.ask(daemon, [&](request_number number) { return orderCall(number, key, bodyHash); });
}

const received_answer& awaitAnswer(daemon_simulation& world, request_number number)
{
    REQUIRE(world.runUntil([&] { return world.answer(number) != nullptr; }, std::chrono::seconds(40)));
    return *world.answer(number);
}

std::string openBody()
{
    return json { { "batch", "step" }, { "entry", "rollouts" }, { "trainer", "t" }, { "due_ms", 60000 }, { "max_tokens", 16 },
        { "groups", json::array({ { { "prompt", "p" }, { "count", slots / 2 } }, { { "prompt", "q" }, { "count", slots / 2 } } }) } }
        .dump();
}

/// Trainer that fetches until it holds all samples, at a daemon of its choice each time.
struct trainer {
    explicit trainer(daemon_simulation& daemons)
        : world(daemons)
    {
    }

    daemon_simulation& world;
    weight_version version { 1, 7 };
    std::map<std::uint32_t, std::size_t> received;
    std::uint64_t fetches = 0;
    /// Every so many answers are lost on their way.
    std::uint64_t losesEvery = 0;
    bool isComplete = false;
    bool isOpened = false;

    std::size_t liveDaemon() const
    {
        std::size_t daemon = fetches % world.size();
        while (!world.isAlive(daemon))
            daemon = (daemon + 1) % world.size();
        return daemon;
    }

    void open()
    {
        const request_number number = world.ask(liveDaemon(), [](request_number n) { return batch_request_received { n, open_batch_request { openBody() } }; });
        world.runUntil([&] { return world.answer(number) != nullptr; }, std::chrono::seconds(6));
        isOpened = world.answer(number) && world.answer(number)->httpStatus < 300;
    }

    void fetch()
    {
        json held = json::array();
        for (const std::pair<const std::uint32_t, std::size_t>& slot : received)
            held.push_back({ slot.first, slot.first });
        ++fetches;
        const json body { { "fetch", fetches }, { "version", { { "base", version.base }, { "adapter", version.adapter } } },
            { "held", held }, { "max", 4 }, { "wait_ms", 1000 } };
        const request_number number = world.ask(liveDaemon(), [&](request_number n) { return batch_request_received { n, fetch_batch_request { "step", body.dump() } }; });
        const bool isAnswered = world.runUntil([&] { return world.answer(number) != nullptr; }, std::chrono::seconds(4));
        const bool isLost = losesEvery > 0 && fetches % losesEvery == 0;
        if (!isAnswered || isLost)
            return;
        if (world.answer(number)->code == result_code::UnknownBatch)
            isOpened = false;
        if (world.answer(number)->httpStatus == 200)
            take(json::parse(world.answer(number)->body));
        else
            world.run(std::chrono::milliseconds(100));
    }

    void take(const json& answer)
    {
        isComplete = answer.at("complete");
        for (const json& sample : answer.at("samples")) {
            ++received[sample.at("slot").get<std::uint32_t>()];
            CHECK(sample.at("token_ids").size() == 16);
            CHECK(sample.at("spans").back().at("end") == 16);
            for (const json& span : sample.at("spans")) {
                for (const json& weights : span.at("weights"))
                    CHECK(versionsBehind(version, { weights.at("base"), weights.at("adapter") }) <= 1);
            }
        }
    }

    void step()
    {
        if (!isOpened)
            open();
        else
            fetch();
    }
};

std::size_t ownerOf(const daemon_simulation& world)
{
    for (std::size_t daemon = 0; daemon < world.size(); ++daemon) {
        if (!world.isAlive(daemon))
            continue;
        const json status = json::parse(world.core(daemon).status());
        if (!status.at("batches").empty())
            return daemon;
    }
    return world.size();
}

}

TEST_CASE("An accepted edit is in force on each daemon, also on one that starts later")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    world.kill(2);
    world.run(std::chrono::seconds(1));
    world.start(2);
    world.run(std::chrono::seconds(2));
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        CHECK(world.core(daemon).catalogue().table().entries().size() == 2);
}

TEST_CASE("A daemon that starts while the log is down learns the catalogue from a peer")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    world.kill(2);
    world.isLogDown = true;
    world.start(2);
    world.run(std::chrono::seconds(5));
    CHECK(world.core(2).catalogue().table().entries().size() == 2);
    CHECK(world.core(2).isReady());
}

TEST_CASE("Of two operators that replace one revision one is accepted, the same everywhere")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    const request_number left = world.edit(0, "left", "orders", 0, orderEntry);
    const request_number right = world.edit(1, "right", "orders", 0, orderEntry);
    const int leftStatus = awaitAnswer(world, left).httpStatus;
    const int rightStatus = awaitAnswer(world, right).httpStatus;
    CHECK(std::min(leftStatus, rightStatus) == 200);
    CHECK(std::max(leftStatus, rightStatus) == 409);
    world.run(std::chrono::seconds(1));
    for (std::size_t daemon = 1; daemon < daemonCount; ++daemon)
        CHECK(world.core(daemon).catalogue().table().hash() == world.core(0).catalogue().table().hash());
}

TEST_CASE("An edit whose reply from the log is lost is found again by its id")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    world.lostReplies = 1;
    const request_number number = world.edit(0, "edit", "orders", 0, orderEntry);
    CHECK(awaitAnswer(world, number).httpStatus == 200);
    CHECK(world.core(1).catalogue().table().revision("orders") == 1);
}

namespace {

struct order_case {
    const char* name;
    service_behaviour service;
    bool isLogDown;
    std::size_t lostReplies;
    /// Whether the daemon that took the first order dies before the second is sent.
    bool isFirstKilled;
    std::size_t executions;
    result_code first;
    result_code second;
};

const order_case orderCases[] = {
    { "both answered", service_behaviour::Answers, false, 0, false, 1, result_code::Ok, result_code::Ok },
    { "reply of the claim lost", service_behaviour::Answers, false, 1, false, 1, result_code::Ok, result_code::Ok },
    { "replies of claim and finish lost", service_behaviour::Answers, false, 2, false, 1, result_code::Ok, result_code::Ok },
    { "upstream breaks after it ran", service_behaviour::RunsThenBreaks, false, 0, false, 1, result_code::OutcomeUnknown, result_code::OutcomeUnknown },
    { "upstream unreachable", service_behaviour::Unreachable, false, 0, false, 0, result_code::UpstreamUnreachable, result_code::UpstreamUnreachable },
    { "log down", service_behaviour::Answers, true, 0, false, 0, result_code::ClaimUnavailable, result_code::ClaimUnavailable },
    { "first daemon killed after its answer", service_behaviour::Answers, false, 0, true, 1, result_code::Ok, result_code::Ok },
};

}

TEST_CASE("An order sent again with its key at another daemon runs at most once, and 'not run' is true")
{
    for (const order_case& row : orderCases) {
        DYNAMIC_SECTION(row.name)
        {
            daemon_simulation world(daemonCount);
            world.run(std::chrono::seconds(1));
            putEntries(world);
            world.service = row.service;
            world.isLogDown = row.isLogDown;
            world.run(std::chrono::seconds(3));
            world.lostReplies = row.lostReplies;
            const request_number first = sendOrder(world, 0, "key");
            CHECK(awaitAnswer(world, first).code == row.first);
            world.run(std::chrono::seconds(1));
            if (row.isFirstKilled)
                world.kill(0);
            const request_number second = sendOrder(world, 1, "key");
            CHECK(awaitAnswer(world, second).code == row.second);
            CHECK(world.executions["key"] == row.executions);
            if (row.second == result_code::Ok)
                CHECK(world.answer(second)->body == "execution 1");
        }
    }
}

TEST_CASE("Two orders with one key at the same time at two daemons run once")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    const request_number first = sendOrder(world, 0, "key");
    const request_number second = sendOrder(world, 1, "key");
    const request_number other = sendOrder(world, 2, "key", 2);
    awaitAnswer(world, first);
    awaitAnswer(world, second);
    CHECK(awaitAnswer(world, other).code == result_code::KeyConflict);
    CHECK(world.executions["key"] == 1);
}

TEST_CASE("A daemon that dies with an order under way leaves its outcome unknown, never run twice")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    world.serviceTime = std::chrono::milliseconds(500);
    sendOrder(world, 0, "key");
    REQUIRE(world.runUntil([&] { return world.executions["key"] == 1; }, std::chrono::seconds(2)));
    world.kill(0);
    const request_number second = sendOrder(world, 1, "key");
    const received_answer& answer = awaitAnswer(world, second);
    CHECK(std::error_code(answer.code) == result_code::KeyInUse);
    CHECK(world.executions["key"] == 1);
}

namespace {

enum class step_fault {
    None,
    LostAnswers,
    OwnerKilled,
    OwnerKilledWhileLogDown,
    OwnerFrozenAndThawed,
    OwnerDrained,
    LogDown,
    LostReplies,
    NewWeights,
    OwnerCutOff,
};

struct step_case {
    const char* name;
    step_fault fault;
};

const step_case stepCases[] = {
    { "no fault", step_fault::None },
    { "answers to fetches are lost", step_fault::LostAnswers },
    { "the owner is killed in mid-step", step_fault::OwnerKilled },
    { "the owner is killed while the log is down", step_fault::OwnerKilledWhileLogDown },
    { "the owner is frozen and thawed", step_fault::OwnerFrozenAndThawed },
    { "the owner is drained", step_fault::OwnerDrained },
    { "the log is down throughout the step", step_fault::LogDown },
    { "replies of the log are lost", step_fault::LostReplies },
    { "new weights twice in mid-step", step_fault::NewWeights },
    { "the owner is cut off from its peers", step_fault::OwnerCutOff },
};

void provoke(daemon_simulation& world, trainer& user, step_fault fault)
{
    const std::size_t owner = ownerOf(world);
    switch (fault) {
    case step_fault::None:
        return;
    case step_fault::LostAnswers:
        user.losesEvery = 2;
        return;
    case step_fault::OwnerKilledWhileLogDown:
        world.isLogDown = true;
        world.run(std::chrono::milliseconds(500));
        world.kill(owner);
        return;
    case step_fault::OwnerKilled:
        world.kill(owner);
        return;
    case step_fault::OwnerFrozenAndThawed:
        world.freeze(owner);
        world.run(std::chrono::seconds(10));
        world.thaw(owner);
        return;
    case step_fault::OwnerDrained:
        world.drain(owner);
        return;
    case step_fault::LogDown:
        return;
    case step_fault::LostReplies:
        world.lostReplies = 5;
        return;
    case step_fault::NewWeights:
        world.weights.adapter += 2;
        user.version.adapter += 2;
        return;
    case step_fault::OwnerCutOff:
        for (std::size_t daemon = 0; daemon < world.size(); ++daemon) {
            world.cutLinks.insert({ owner, daemon });
            world.cutLinks.insert({ daemon, owner });
        }
        return;
    }
}

}

TEST_CASE("A trainer gets each sample of a step once, whatever fails on the way")
{
    for (const step_case& row : stepCases) {
        DYNAMIC_SECTION(row.name)
        {
            daemon_simulation world(daemonCount);
            world.run(std::chrono::seconds(1));
            putEntries(world);
            world.isLogDown = row.fault == step_fault::LogDown;
            world.tokenTime = std::chrono::milliseconds(40);
            trainer user(world);
            user.open();
            REQUIRE(user.isOpened);
            REQUIRE(world.runUntil([&] { return ownerOf(world) < world.size(); }, std::chrono::seconds(1)));
            user.fetch();
            provoke(world, user, row.fault);
            for (int round = 0; round < 200 && !user.isComplete; ++round)
                user.step();
            CHECK(user.isComplete);
            CHECK(user.received.size() == slots);
            for (const std::pair<const std::uint32_t, std::size_t>& slot : user.received)
                CHECK(slot.second == 1);
        }
    }
}

TEST_CASE("A batch under a known id with other content is a conflict")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    trainer user(world);
    user.open();
    REQUIRE(user.isOpened);
    json other = json::parse(openBody());
    other["groups"][0]["prompt"] = "another";
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const request_number number = world.ask(daemon, [&](request_number n) { return batch_request_received { n, open_batch_request { other.dump() } }; });
        CHECK(awaitAnswer(world, number).code == result_code::BatchConflict);
    }
}

TEST_CASE("All daemons become idle when all are drained at once, also with a batch that is not whole")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    trainer user(world);
    user.open();
    REQUIRE(user.isOpened);
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        world.drain(daemon);
    world.run(std::chrono::seconds(5));
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        CHECK(world.core(daemon).isIdle());
}

TEST_CASE("A drained daemon becomes idle and gets nothing new")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    trainer user(world);
    user.open();
    REQUIRE(user.isOpened);
    const std::size_t owner = ownerOf(world);
    world.drain(owner);
    CHECK(world.runUntil([&] { return world.core(owner).isIdle(); }, std::chrono::seconds(5)));
    CHECK_FALSE(world.core(owner).isReady());
}

TEST_CASE("A new version reaches all replicas, also when the daemon that orders it dies")
{
    daemon_simulation world(daemonCount);
    world.run(std::chrono::seconds(1));
    putEntries(world);
    world.run(std::chrono::seconds(8));
    world.published = { 1, 8 };
    REQUIRE(world.runUntil([&] { return !world.orderedBy.empty(); }, std::chrono::seconds(20)));
    const std::size_t holder = *world.orderedBy.begin();
    CHECK(world.orderedBy.size() == 1);
    world.kill(holder);
    world.published = { 1, 9 };
    const bool isDone = world.runUntil([&] { return world.weightsOf("llm-1") == world.published && world.weightsOf("llm-2") == world.published; },
        std::chrono::seconds(120));
    CHECK(isDone);
    CHECK(world.orderedBy.size() == 2);
}
