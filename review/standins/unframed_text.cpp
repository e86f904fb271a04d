/// Case: texts of items whose answers have no length and end with their connection.
#include "fleet.h"
#include "record.h"
#include "replica.h"
#include "trainer.h"

#include <cstdio>
#include <thread>

#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t daemons = 3;
constexpr int groups = 15;
constexpr int groupSize = 4;
constexpr int events = 24;
/// As on the site: nine engines with 12 slots, and the time of a step.
constexpr int engines = 9;
constexpr std::chrono::microseconds stepTime { 529 };
/// The trainer asks for steps ahead, so that two of its batch jobs are open.
constexpr int openJobs = 2;
constexpr std::chrono::seconds length { 60 };
/// Part of the replicas that spoil answers, and part of their answers: the site's largest dose of `garble`.
constexpr double spoilingShare = 0.6;
constexpr double spoiledAnswers = 0.03;
constexpr std::chrono::seconds spoilingTime { 5 };
constexpr std::chrono::seconds pauseTime { 1 };

const std::string prefix = "/pufi791/";
const std::string model = "daka510000";

/// Runs one step and returns the number of completed results whose text is not the item's whole output.
int runStep(const fleet& running, int step, std::atomic<int>& completed)
{
    const std::string id = "job" + std::to_string(step) + "x";
    const std::string& daemon = running.caller(static_cast<std::size_t>(step) % daemons);
    if (submit(daemon, prefix, id, batchJob(id, prefix, model, groups, groupSize)) != 202)
        return 0;
    int wrong = 0;
    std::vector<listed_result> results;
    const clock::time_point deadline = clock::now() + std::chrono::seconds(12);
    while (results.size() < groups * groupSize && clock::now() < deadline)
        readResults(daemon, id, results.size(), results);
    for (const listed_result& result : results) {
        if (result.state != "completed")
            continue;
        ++completed;
        if (result.output == wholeText(result.item, events))
            continue;
        ++wrong;
        record("BROKEN item " + result.item + " is listed as completed with the text \"" + result.output.substr(result.output.size() > 60 ? result.output.size() - 60 : 0) + "\" at its end; its last event is \"" + eventData(result.item, events) + "\"");
    }
    record("batch job " + id + ": " + std::to_string(results.size()) + " results read, " + std::to_string(wrong) + " of them wrong");
    endJob(daemon, id);
    return wrong;
}

int run()
{
    // The stand-ins serve until the process ends.
    store& platform = *new store(daemons);
    configure(platform, 3, nlohmann::json::array({ route("lots", prefix, "rollout", "engines", 10000) }), nlohmann::json::array({ engineService("engines", { model }, 12) }));
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < engines; ++number) {
        replica_options options;
        options.id = "i-engine" + std::to_string(number);
        options.service = "engines";
        options.models = { model };
        options.eventsPerItem = events;
        options.eventPause = stepTime;
        replicas.push_back(std::make_unique<replica>(platform, options));
    }
    fleet running(platform, daemons);
    for (std::size_t index = 0; index < daemons; ++index)
        running.start(index);
    for (std::size_t index = 0; index < daemons; ++index) {
        if (!running.awaitReady(index, std::chrono::seconds(10)))
            return couldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const clock::time_point begin = clock::now();
    const clock::time_point end = begin + length;
    std::thread disruption([&replicas, end] {
        while (hasTrouble() && clock::now() < end) {
            for (std::size_t index = 0; index < static_cast<std::size_t>(spoilingShare * static_cast<double>(replicas.size()) + 0.5); ++index)
                replicas[index]->setUnframedShare(spoiledAnswers);
            std::this_thread::sleep_for(spoilingTime);
            for (const std::unique_ptr<replica>& spoiling : replicas)
                spoiling->setUnframedShare(0);
            std::this_thread::sleep_for(pauseTime);
        }
    });
    std::atomic<int> wrong = 0;
    std::atomic<int> completed = 0;
    std::atomic<int> nextStep = 0;
    std::vector<std::thread> trainer;
    for (int open = 0; open < openJobs; ++open) {
        trainer.emplace_back([&] {
            while (clock::now() < end)
                wrong += runStep(running, nextStep++, completed);
        });
    }
    for (std::thread& one : trainer)
        one.join();
    disruption.join();
    int unframed = 0;
    for (const std::unique_ptr<replica>& one : replicas)
        unframed += one->unframedAnswers();
    record(std::to_string(completed) + " completed results read, " + std::to_string(unframed) + " answers without a length, " + std::to_string(wrong) + " completed results with a wrong text");
    if (completed == 0)
        return couldNotRun;
    return wrong > 0 ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    openRecord(argc > 1 ? argv[1] : ".");
    int result = couldNotRun;
    try {
        result = run();
    } catch (const std::exception& error) {
        record(std::string("the case could not run: ") + error.what());
    }
    record("exit code " + std::to_string(result));
    std::fflush(nullptr);
    _exit(result);
}
