/// Not a case, but an open entry that the report speaks of: a request that ends the replicas that run it, before and after
/// all daemons are killed. Run it with a folder for record.txt.
#include "fleet.h"
#include "record.h"
#include "replica.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <thread>

#include <unistd.h>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::size_t daemons = 3;
constexpr int replicasInService = 8;
constexpr int kills = 2;
constexpr int allowedRetries = 3;
constexpr std::chrono::seconds pressing { 12 };
constexpr std::chrono::seconds contact { 3 };

int countCrashes(const std::vector<std::unique_ptr<replica>>& replicas)
{
    int crashes = 0;
    for (const std::unique_ptr<replica>& one : replicas)
        crashes += one->crashes();
    return crashes;
}

/// Sends the deadly request again and again, at one daemon after the other, beside requests that are harmless.
void press(const fleet& running, int& number)
{
    const clock::time_point end = clock::now() + pressing;
    while (clock::now() < end) {
        const std::string id = "d" + std::to_string(++number);
        const int status = call(running.caller(static_cast<std::size_t>(number) % daemons), "POST", "/pages/same", { { "Host", host }, { "Request-Id", id }, { "Deadline-Ms", "800" } }, "deadly", std::chrono::seconds(2)).status;
        record("request " + id + " answered " + std::to_string(status));
        for (int calm = 0; calm < 3; ++calm)
            call(running.caller(static_cast<std::size_t>(calm) % daemons), "POST", "/pages/" + id, { { "Host", host }, { "Request-Id", id + "c" + std::to_string(calm) }, { "Deadline-Ms", "800" } }, "10", std::chrono::seconds(2));
        std::this_thread::sleep_for(milliseconds(300));
    }
}

int run()
{
    store& platform = *new store(daemons);
    configure(platform, 3, json::array({ route("pages", "/pages/", "idempotent", "shop", 800) }), json::array({ plainService("shop") }));
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < replicasInService; ++number) {
        replica_options options;
        options.id = "i-shop" + std::to_string(number);
        options.service = "shop";
        replicas.push_back(std::make_unique<replica>(platform, options));
    }
    fleet running(platform, daemons);
    int number = 0;
    int afterThird = 0;
    for (int round = 0; round <= (hasTrouble() ? kills : 0); ++round) {
        for (std::size_t index = 0; index < daemons; ++index) {
            running.signal(index, SIGKILL);
            running.awaitEnd(index, std::chrono::seconds(5));
        }
        for (std::size_t index = 0; index < daemons; ++index)
            running.start(index);
        for (std::size_t index = 0; index < daemons; ++index) {
            if (!running.awaitReady(index, std::chrono::seconds(10)))
                return couldNotRun;
        }
        std::this_thread::sleep_for(contact + std::chrono::seconds(1));
        const int before = countCrashes(replicas);
        press(running, number);
        const int ended = countCrashes(replicas) - before;
        record("the request has ended " + std::to_string(ended) + " replicas since the daemons were " + (round == 0 ? "started" : "killed and started again"));
        afterThird += round == 0 ? std::max(0, ended - allowedRetries) : ended;
    }
    record(std::to_string(afterThird) + " retries reached replicas later than contact_ms after the request had ended the third");
    return afterThird > allowedRetries ? ruleBroken : ruleHeld;
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
