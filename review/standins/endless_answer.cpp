/// Case: replicas in trouble that send bytes without end in a body.
#include "fleet.h"
#include "record.h"
#include "replica.h"
#include "trainer.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <thread>

#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t daemons = 3;
constexpr int groups = 15;
constexpr int groupSize = 4;
constexpr std::chrono::seconds length { 75 };
/// Part of the replicas that spoil answers, and part of their answers: the site's largest dose of `garble`.
constexpr double spoilingShare = 0.6;
constexpr double spoiledAnswers = 0.03;
constexpr std::chrono::seconds spoilingTime { 5 };
constexpr std::chrono::seconds pauseTime { 1 };
/// limits.memory_mb of the site.
constexpr std::size_t memoryLimit = std::size_t { 150 } * 1024 * 1024;
constexpr milliseconds restartDelay { 300 };
/// The rule: on two machines at least, processes end three times.
constexpr std::ptrdiff_t machinesInRule = 2;
constexpr int endsInRule = 3;

const std::string prefix = "/pufi791/";
/// The models are run by different daemons.
const std::vector<std::string> models { "daka510000", "rada7437b5", "ravo486f6a" };

/// Does what the platform does: kills a process whose memory exceeds its limit, and starts each process again that has
/// ended.
class platform_watch {
public:
    platform_watch(fleet& running, clock::time_point end)
        : m_running(running)
        , m_thread([this, end] { watch(end); })
    {
    }
    ~platform_watch() { m_thread.join(); }

    std::array<std::atomic<int>, daemons> ends {};
    std::atomic<std::size_t> mostMemory = 0;

private:
    void watch(clock::time_point end)
    {
        while (clock::now() < end) {
            for (std::size_t index = 0; index < daemons; ++index)
                check(index);
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    void check(std::size_t index)
    {
        const std::size_t bytes = m_running.memoryBytes(index);
        mostMemory = std::max<std::size_t>(mostMemory, bytes);
        if (bytes > memoryLimit) {
            record("daemon " + std::to_string(index) + " has " + std::to_string(bytes) + " bytes of memory, more than its limit, and is killed");
            m_running.signal(index, SIGKILL);
            m_running.awaitEnd(index, std::chrono::seconds(5));
        }
        if (m_running.isRunning(index))
            return;
        ++ends[index];
        record("daemon " + std::to_string(index) + " has ended for the time " + std::to_string(ends[index]));
        std::this_thread::sleep_for(restartDelay);
        m_running.start(index);
    }

    fleet& m_running;
    std::thread m_thread;
};

/// Runs one step of a trainer, at another daemon after each failure; returns the number of results read.
std::size_t runStep(const fleet& running, const std::string& model, int step)
{
    const std::string id = model + "x" + std::to_string(step) + "x";
    const nlohmann::json job = batchJob(id, prefix, model, groups, groupSize);
    std::size_t daemon = static_cast<std::size_t>(step) % daemons;
    const clock::time_point deadline = clock::now() + std::chrono::seconds(12);
    while (submit(running.caller(daemon), prefix, id, job) != 202 && clock::now() < deadline) {
        daemon = (daemon + 1) % daemons;
        std::this_thread::sleep_for(milliseconds(300));
    }
    std::vector<listed_result> results;
    while (results.size() < groups * groupSize && clock::now() < deadline) {
        if (readResults(running.caller(daemon), id, results.size(), results) == 200)
            continue;
        daemon = (daemon + 1) % daemons;
        std::this_thread::sleep_for(milliseconds(300));
    }
    record("batch job " + id + ": " + std::to_string(results.size()) + " of " + std::to_string(groups * groupSize) + " results read");
    endJob(running.caller(daemon), id);
    return results.size();
}

int run()
{
    store& platform = *new store(daemons);
    configure(platform, 3, nlohmann::json::array({ route("lots", prefix, "rollout", "engines", 10000) }), nlohmann::json::array({ engineService("engines", models, 12) }));
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < 5; ++number) {
        replica_options options;
        options.id = "i-engine" + std::to_string(number);
        options.service = "engines";
        options.models = models;
        options.eventPause = milliseconds(20);
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
    const clock::time_point end = clock::now() + length;
    std::thread disruption([&replicas, end] {
        while (hasTrouble() && clock::now() < end) {
            for (std::size_t index = 0; index < static_cast<std::size_t>(spoilingShare * static_cast<double>(replicas.size()) + 0.5); ++index)
                replicas[index]->setEndlessShare(spoiledAnswers);
            std::this_thread::sleep_for(spoilingTime);
            for (const std::unique_ptr<replica>& spoiling : replicas)
                spoiling->setEndlessShare(0);
            std::this_thread::sleep_for(pauseTime);
        }
    });
    std::array<int, daemons> ends {};
    std::size_t mostMemory = 0;
    std::atomic<std::size_t> results = 0;
    {
        platform_watch watch(running, end);
        std::vector<std::thread> trainers;
        for (const std::string& model : models) {
            trainers.emplace_back([&running, &results, &model, end] {
                for (int step = 0; clock::now() < end; ++step)
                    results += runStep(running, model, step);
            });
        }
        for (std::thread& trainer : trainers)
            trainer.join();
        std::copy(watch.ends.begin(), watch.ends.end(), ends.begin());
        mostMemory = watch.mostMemory;
    }
    disruption.join();
    int endless = 0;
    for (const std::unique_ptr<replica>& one : replicas)
        endless += one->endlessAnswers();
    record(std::to_string(endless) + " answers without end, " + std::to_string(results) + " results read, most memory of a daemon " + std::to_string(mostMemory) + " bytes; the daemons ended " + std::to_string(ends[0]) + ", "
        + std::to_string(ends[1]) + " and " + std::to_string(ends[2]) + " times");
    if (results == 0 && !hasTrouble())
        return couldNotRun;
    return std::count_if(ends.begin(), ends.end(), [](int count) { return count >= endsInRule; }) >= machinesInRule ? ruleBroken : ruleHeld;
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
