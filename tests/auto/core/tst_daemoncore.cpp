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

void putEntries(daemon_simulation& simulation)
{
    const request_number order = simulation.submitEdit(0, "edit-order", "orders", 0, orderEntry);
    const request_number training = simulation.submitEdit(1, "edit-training", "rollouts", 0, trainingEntry);
    REQUIRE(simulation.runUntil([&] { return simulation.answer(order) && simulation.answer(training); }, std::chrono::seconds(5)));
    REQUIRE(simulation.answer(order)->httpStatus == 200);
    simulation.run(std::chrono::seconds(1));
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

request_number sendOrderCall(daemon_simulation& simulation, std::size_t daemon, const std::string& key, std::uint64_t bodyHash = 1)
{
    return simulation.sendRequest(daemon, [&](request_number number) { return orderCall(number, key, bodyHash); });
}

const received_answer& awaitAnswer(daemon_simulation& simulation, request_number number)
{
    REQUIRE(simulation.runUntil([&] { return simulation.answer(number) != nullptr; }, std::chrono::seconds(40)));
    return *simulation.answer(number);
}

std::string openBody()
{
    return json { { "batch", "step" }, { "entry", "rollouts" }, { "trainer", "t" }, { "due_ms", 60000 }, { "max_tokens", 16 },
        { "groups", json::array({ { { "prompt", "p" }, { "count", slots / 2 } }, { { "prompt", "q" }, { "count", slots / 2 } } }) } }
        .dump();
}

/// Trainer that fetches until it holds all samples, from the next live daemon each time.
struct trainer {
    explicit trainer(daemon_simulation& daemons)
        : simulation(daemons)
    {
    }

    daemon_simulation& simulation;
    weight_version version { 1, 7 };
    std::map<std::uint32_t, std::size_t> received;
    std::uint64_t fetches = 0;
    /// The answer to every n-th fetch is lost; 0: none.
    std::uint64_t lostFetchInterval = 0;
    bool isComplete = false;
    bool isOpened = false;

    std::size_t liveDaemon() const
    {
        std::size_t daemon = fetches % simulation.size();
        while (!simulation.isAlive(daemon))
            daemon = (daemon + 1) % simulation.size();
        return daemon;
    }

    void open()
    {
        const request_number number = simulation.sendRequest(liveDaemon(), [](request_number n) { return batch_request_received { n, open_batch_request { openBody() } }; });
        simulation.runUntil([&] { return simulation.answer(number) != nullptr; }, std::chrono::seconds(6));
        isOpened = simulation.answer(number) && simulation.answer(number)->httpStatus < 300;
    }

    void fetch()
    {
        json held = json::array();
        for (const std::pair<const std::uint32_t, std::size_t>& slot : received)
            held.push_back({ slot.first, slot.first });
        ++fetches;
        const json body { { "fetch", fetches }, { "version", { { "base", version.base }, { "adapter", version.adapter } } },
            { "held", held }, { "max", 4 }, { "wait_ms", 1000 } };
        const request_number number = simulation.sendRequest(liveDaemon(), [&](request_number n) { return batch_request_received { n, fetch_batch_request { "step", body.dump() } }; });
        const bool isAnswered = simulation.runUntil([&] { return simulation.answer(number) != nullptr; }, std::chrono::seconds(4));
        const bool isLost = lostFetchInterval > 0 && fetches % lostFetchInterval == 0;
        if (!isAnswered || isLost)
            return;
        if (simulation.answer(number)->code == result_code::UnknownBatch)
            isOpened = false;
        if (simulation.answer(number)->httpStatus == 200)
            addSamples(json::parse(simulation.answer(number)->body));
        else
            simulation.run(std::chrono::milliseconds(100));
    }

    void addSamples(const json& answer)
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

std::size_t ownerOf(const daemon_simulation& simulation)
{
    for (std::size_t daemon = 0; daemon < simulation.size(); ++daemon) {
        if (!simulation.isAlive(daemon))
            continue;
        const json status = json::parse(simulation.core(daemon).status());
        if (!status.at("batches").empty())
            return daemon;
    }
    return simulation.size();
}

}

TEST_CASE("An accepted edit takes effect on each daemon, also on one that starts later")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    simulation.kill(2);
    simulation.run(std::chrono::seconds(1));
    simulation.start(2);
    simulation.run(std::chrono::seconds(2));
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        CHECK(simulation.core(daemon).catalogue().table().entries().size() == 2);
}

TEST_CASE("A daemon that starts while the log is down learns the catalogue from a peer")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    simulation.kill(2);
    simulation.isLogDown = true;
    simulation.start(2);
    simulation.run(std::chrono::seconds(5));
    CHECK(simulation.core(2).catalogue().table().entries().size() == 2);
    CHECK(simulation.core(2).isReady());
}

TEST_CASE("Of two edits that replace the same revision all daemons accept the same one")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    const request_number left = simulation.submitEdit(0, "left", "orders", 0, orderEntry);
    const request_number right = simulation.submitEdit(1, "right", "orders", 0, orderEntry);
    const int leftStatus = awaitAnswer(simulation, left).httpStatus;
    const int rightStatus = awaitAnswer(simulation, right).httpStatus;
    CHECK(std::min(leftStatus, rightStatus) == 200);
    CHECK(std::max(leftStatus, rightStatus) == 409);
    simulation.run(std::chrono::seconds(1));
    for (std::size_t daemon = 1; daemon < daemonCount; ++daemon)
        CHECK(simulation.core(daemon).catalogue().table().hash() == simulation.core(0).catalogue().table().hash());
}

TEST_CASE("An edit whose append reply is lost is found in the log by its id")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    simulation.lostReplies = 1;
    const request_number number = simulation.submitEdit(0, "edit", "orders", 0, orderEntry);
    CHECK(awaitAnswer(simulation, number).httpStatus == 200);
    CHECK(simulation.core(1).catalogue().table().revision("orders") == 1);
}

namespace {

struct order_case {
    const char* name;
    service_behaviour service;
    bool isLogDown;
    std::size_t lostReplies;
    /// Whether the daemon that received the first order is killed before the second is sent.
    bool isFirstKilled;
    std::size_t executions;
    result_code first;
    result_code second;
};

const order_case orderCases[] = {
    { "both answered", service_behaviour::Answers, false, 0, false, 1, result_code::Ok, result_code::Ok },
    { "reply of the claim lost", service_behaviour::Answers, false, 1, false, 1, result_code::Ok, result_code::Ok },
    { "replies of claim and finish lost", service_behaviour::Answers, false, 2, false, 1, result_code::Ok, result_code::Ok },
    { "upstream interrupts the connection after it executed the call", service_behaviour::InterruptedAfterRun, false, 0, false, 1, result_code::OutcomeUnknown, result_code::OutcomeUnknown },
    { "upstream unreachable", service_behaviour::Unreachable, false, 0, false, 0, result_code::UpstreamUnreachable, result_code::UpstreamUnreachable },
    { "log down", service_behaviour::Answers, true, 0, false, 0, result_code::ClaimUnavailable, result_code::ClaimUnavailable },
    { "first daemon killed after its answer", service_behaviour::Answers, false, 0, true, 1, result_code::Ok, result_code::Ok },
};

}

TEST_CASE("An order repeated with its key at another daemon runs at most once, and an order reported as not run did not run")
{
    for (const order_case& row : orderCases) {
        DYNAMIC_SECTION(row.name)
        {
            daemon_simulation simulation(daemonCount);
            simulation.run(std::chrono::seconds(1));
            putEntries(simulation);
            simulation.service = row.service;
            simulation.isLogDown = row.isLogDown;
            simulation.run(std::chrono::seconds(3));
            simulation.lostReplies = row.lostReplies;
            const request_number first = sendOrderCall(simulation, 0, "key");
            CHECK(awaitAnswer(simulation, first).code == row.first);
            simulation.run(std::chrono::seconds(1));
            if (row.isFirstKilled)
                simulation.kill(0);
            const request_number second = sendOrderCall(simulation, 1, "key");
            CHECK(awaitAnswer(simulation, second).code == row.second);
            CHECK(simulation.executions["key"] == row.executions);
            if (row.second == result_code::Ok)
                CHECK(simulation.answer(second)->body == "execution 1");
        }
    }
}

TEST_CASE("Two simultaneous orders with the same key at two daemons run once")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    const request_number first = sendOrderCall(simulation, 0, "key");
    const request_number second = sendOrderCall(simulation, 1, "key");
    const request_number other = sendOrderCall(simulation, 2, "key", 2);
    awaitAnswer(simulation, first);
    awaitAnswer(simulation, second);
    CHECK(awaitAnswer(simulation, other).code == result_code::KeyConflict);
    CHECK(simulation.executions["key"] == 1);
}

TEST_CASE("An order whose daemon is killed during the call is not run a second time")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    simulation.serviceTime = std::chrono::milliseconds(500);
    sendOrderCall(simulation, 0, "key");
    REQUIRE(simulation.runUntil([&] { return simulation.executions["key"] == 1; }, std::chrono::seconds(2)));
    simulation.kill(0);
    const request_number second = sendOrderCall(simulation, 1, "key");
    const received_answer& answer = awaitAnswer(simulation, second);
    CHECK(std::error_code(answer.code) == result_code::KeyInUse);
    CHECK(simulation.executions["key"] == 1);
}

namespace {

enum class step_fault {
    None,
    LostAnswers,
    OwnerKilled,
    OwnerKilledWhileLogDown,
    OwnerPausedAndResumed,
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
    { "the owner is killed during the step", step_fault::OwnerKilled },
    { "the owner is killed while the log is down", step_fault::OwnerKilledWhileLogDown },
    { "the owner is paused and resumed", step_fault::OwnerPausedAndResumed },
    { "the owner is drained", step_fault::OwnerDrained },
    { "the log is down throughout the step", step_fault::LogDown },
    { "append replies of the log are lost", step_fault::LostReplies },
    { "new weights twice during the step", step_fault::NewWeights },
    { "the owner loses all links to its peers", step_fault::OwnerCutOff },
};

void injectFault(daemon_simulation& simulation, trainer& user, step_fault fault)
{
    const std::size_t owner = ownerOf(simulation);
    switch (fault) {
    case step_fault::None:
        return;
    case step_fault::LostAnswers:
        user.lostFetchInterval = 2;
        return;
    case step_fault::OwnerKilledWhileLogDown:
        simulation.isLogDown = true;
        simulation.run(std::chrono::milliseconds(500));
        simulation.kill(owner);
        return;
    case step_fault::OwnerKilled:
        simulation.kill(owner);
        return;
    case step_fault::OwnerPausedAndResumed:
        simulation.pause(owner);
        simulation.run(std::chrono::seconds(10));
        simulation.resume(owner);
        return;
    case step_fault::OwnerDrained:
        simulation.drain(owner);
        return;
    case step_fault::LogDown:
        return;
    case step_fault::LostReplies:
        simulation.lostReplies = 5;
        return;
    case step_fault::NewWeights:
        simulation.weights.adapter += 2;
        user.version.adapter += 2;
        return;
    case step_fault::OwnerCutOff:
        for (std::size_t daemon = 0; daemon < simulation.size(); ++daemon) {
            simulation.cutLinks.insert({ owner, daemon });
            simulation.cutLinks.insert({ daemon, owner });
        }
        return;
    }
}

}

TEST_CASE("A trainer receives each sample of a step exactly once in spite of faults")
{
    for (const step_case& row : stepCases) {
        DYNAMIC_SECTION(row.name)
        {
            daemon_simulation simulation(daemonCount);
            simulation.run(std::chrono::seconds(1));
            putEntries(simulation);
            simulation.isLogDown = row.fault == step_fault::LogDown;
            simulation.tokenTime = std::chrono::milliseconds(40);
            trainer user(simulation);
            user.open();
            REQUIRE(user.isOpened);
            REQUIRE(simulation.runUntil([&] { return ownerOf(simulation) < simulation.size(); }, std::chrono::seconds(1)));
            user.fetch();
            injectFault(simulation, user, row.fault);
            for (int round = 0; round < 200 && !user.isComplete; ++round)
                user.step();
            CHECK(user.isComplete);
            CHECK(user.received.size() == slots);
            for (const std::pair<const std::uint32_t, std::size_t>& slot : user.received)
                CHECK(slot.second == 1);
        }
    }
}

TEST_CASE("Opening a batch under a known id with other content is a conflict")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    trainer user(simulation);
    user.open();
    REQUIRE(user.isOpened);
    json other = json::parse(openBody());
    other["groups"][0]["prompt"] = "another";
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
        const request_number number = simulation.sendRequest(daemon, [&](request_number n) { return batch_request_received { n, open_batch_request { other.dump() } }; });
        CHECK(awaitAnswer(simulation, number).code == result_code::BatchConflict);
    }
}

TEST_CASE("All daemons become idle when all are drained at once, also with an incomplete batch")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    trainer user(simulation);
    user.open();
    REQUIRE(user.isOpened);
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        simulation.drain(daemon);
    simulation.run(std::chrono::seconds(5));
    for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
        CHECK(simulation.core(daemon).isIdle());
}

TEST_CASE("A drained daemon becomes idle and is not ready")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    trainer user(simulation);
    user.open();
    REQUIRE(user.isOpened);
    const std::size_t owner = ownerOf(simulation);
    simulation.drain(owner);
    CHECK(simulation.runUntil([&] { return simulation.core(owner).isIdle(); }, std::chrono::seconds(5)));
    CHECK_FALSE(simulation.core(owner).isReady());
}

TEST_CASE("A new version reaches all replicas, also when the daemon that orders the loads is killed")
{
    daemon_simulation simulation(daemonCount);
    simulation.run(std::chrono::seconds(1));
    putEntries(simulation);
    simulation.run(std::chrono::seconds(8));
    simulation.publishedWeights = { 1, 8 };
    REQUIRE(simulation.runUntil([&] { return !simulation.orderedBy.empty(); }, std::chrono::seconds(20)));
    const std::size_t holder = *simulation.orderedBy.begin();
    CHECK(simulation.orderedBy.size() == 1);
    simulation.kill(holder);
    simulation.publishedWeights = { 1, 9 };
    const bool isDone = simulation.runUntil([&] { return simulation.weightsOf("llm-1") == simulation.publishedWeights && simulation.weightsOf("llm-2") == simulation.publishedWeights; },
        std::chrono::seconds(120));
    CHECK(isDone);
    CHECK(simulation.orderedBy.size() == 2);
}
