/// Case: a batch job on a route that was just added, while the store turned away the daemon that runs the model.
#include "fleet.h"
#include "record.h"
#include "replica.h"
#include "trainer.h"

#include <cstdio>
#include <thread>

#include <unistd.h>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::size_t daemons = 3;
constexpr int rounds = 16;
constexpr int groups = 6;
constexpr int groupSize = 4;
/// The store turns away one machine of three for this time: less than the share and the time of the site's `platform_down`.
constexpr milliseconds awayTime { 1000 };

const std::string model = "daka510000";

std::string prefixOf(int round)
{
    return "/lots" + std::to_string(round) + "/";
}

json routes(int last)
{
    json all = json::array();
    for (int round = 0; round <= last; ++round)
        all.push_back(route("lots" + std::to_string(round), prefixOf(round), "rollout", "engines", 10000));
    return all;
}


/// Reads all results of a batch job and returns how many of them are abandoned.
int countAbandoned(const std::string& daemon, const std::string& id)
{
    std::vector<listed_result> results;
    const clock::time_point deadline = clock::now() + std::chrono::seconds(8);
    while (results.size() < groups * groupSize && clock::now() < deadline)
        readResults(daemon, id, results.size(), results);
    int abandoned = 0;
    for (const listed_result& result : results)
        abandoned += result.state == "abandoned" ? 1 : 0;
    record("batch job " + id + ": " + std::to_string(results.size()) + " results read, " + std::to_string(abandoned) + " of them abandoned");
    return abandoned;
}

int run()
{
    store& platform = *new store(daemons);
    const json services = json::array({ engineService("engines", { model }, 12) });
    configure(platform, 3, routes(0), services);
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < 3; ++number) {
        replica_options options;
        options.id = "i-engine" + std::to_string(number);
        options.service = "engines";
        options.models = { model };
        options.eventPause = milliseconds(5);
        replicas.push_back(std::make_unique<replica>(platform, options));
    }
    fleet running(platform, daemons);
    // The first daemon takes the lease of the model, since the others start later.
    running.start(0);
    if (!running.awaitReady(0, std::chrono::seconds(10)))
        return couldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    running.start(1);
    running.start(2);
    if (!running.awaitReady(1, std::chrono::seconds(10)) || !running.awaitReady(2, std::chrono::seconds(10)))
        return couldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(1));
    int abandoned = 0;
    int accepted = 0;
    for (int round = 1; round <= rounds; ++round) {
        const std::string id = "job" + std::to_string(round) + "x";
        const std::string prefix = prefixOf(round);
        if (hasTrouble()) {
            record("the store begins to turn away the first daemon");
            platform.setBusy(0, true);
        }
        std::this_thread::sleep_for(milliseconds(200));
        configure(platform, 3 + 2 * round, routes(round), services);
        std::this_thread::sleep_for(milliseconds(400));
        if (submit(running.caller(1), prefix, id, batchJob(id, prefix, model, groups, groupSize)) == 202)
            ++accepted;
        std::this_thread::sleep_for(awayTime - milliseconds(600));
        platform.setBusy(0, false);
        if (hasTrouble())
            record("the store serves the first daemon again");
        const int missing = countAbandoned(running.caller(2), id);
        abandoned += missing;
        if (missing > 0)
            record("BROKEN " + std::to_string(missing) + " items of batch job " + id + " are abandoned; no replica answered 422 or 500, the job is open, its route is in force, retention_s is 40");
        endJob(running.caller(1), id);
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    int runs = 0;
    for (const std::unique_ptr<replica>& one : replicas)
        runs += one->runs();
    record(std::to_string(accepted) + " batch jobs accepted, " + std::to_string(runs) + " runs at the replicas, " + std::to_string(abandoned) + " items abandoned");
    if (accepted == 0)
        return couldNotRun;
    return abandoned > 0 ? ruleBroken : ruleHeld;
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
