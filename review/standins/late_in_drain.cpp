/// Case: requests that reach a daemon on kept connections some seconds after its SIGTERM.
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
/// The settings of the deployment: the platform sends SIGKILL this long after SIGTERM.
constexpr milliseconds grace { 8000 };
/// Requests sent up to 3 s after SIGTERM may be excused; this one is later.
constexpr milliseconds lateAfter { 4000 };
/// The late request's work ends 400 ms before grace_s.
constexpr int lateWorkMs = 3600;
/// Work of a request that was sent before SIGTERM.
constexpr int earlyWorkMs = 6000;

http_message order(connection& kept, const std::string& id, int workMs)
{
    record("client sends request " + id + " on a kept connection");
    if (!kept.send(requestText("POST", "/orders/" + id, { { "Host", host }, { "Request-Id", id }, { "Deadline-Ms", "10000" } }, std::to_string(workMs))))
        record("client cannot send request " + id);
    http_message response = kept.readResponse(clock::now() + std::chrono::seconds(11));
    record("client: request " + id + (response.isComplete ? " answered " + std::to_string(response.status) : std::string(" ends without an answer")));
    return response;
}

int run()
{
    store& platform = *new store(daemons);
    configure(platform, 3, json::array({ route("orders", "/orders/", "non_idempotent", "shop", 10000) }), json::array({ plainService("shop") }));
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < 2; ++number) {
        replica_options options;
        options.id = "i-shop" + std::to_string(number);
        options.service = "shop";
        options.slots = 6;
        replicas.push_back(std::make_unique<replica>(platform, options));
    }
    fleet running(platform, daemons);
    for (std::size_t index = 0; index < daemons; ++index)
        running.start(index);
    for (std::size_t index = 0; index < daemons; ++index) {
        if (!running.awaitReady(index, std::chrono::seconds(10)))
            return couldNotRun;
    }
    // No disruption for contact_ms before the stops.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    int lost = 0;
    for (std::size_t index = 0; index < daemons; ++index) {
        const std::string round = std::to_string(index);
        connection early = connectTo(running.caller(index));
        connection late = connectTo(running.caller(index));
        if (order(late, "first" + round, 30).status != 200)
            return couldNotRun;
        std::thread client([&early, round] { order(early, "early" + round, earlyWorkMs); });
        std::this_thread::sleep_for(milliseconds(300));
        const clock::time_point stopped = clock::now();
        if (hasTrouble()) {
            record("SIGTERM to daemon " + round);
            running.signal(index, SIGTERM);
        }
        std::this_thread::sleep_until(stopped + lateAfter);
        const http_message answer = order(late, "late" + round, lateWorkMs);
        client.join();
        int runs = 0;
        for (const std::unique_ptr<replica>& one : replicas)
            runs += one->begun().contains("late" + round) ? 1 : 0;
        if (!answer.isComplete && runs > 0) {
            ++lost;
            record("BROKEN request late" + round + " was passed on to a replica, and its connection ended without an answer");
        }
        if (hasTrouble()) {
            running.awaitEnd(index, grace);
            running.start(index);
            if (!running.awaitReady(index, std::chrono::seconds(10)))
                return couldNotRun;
            std::this_thread::sleep_for(std::chrono::seconds(4));
        }
    }
    record(std::to_string(lost) + " of " + std::to_string(daemons) + " late requests were lost");
    return lost > 0 ? ruleBroken : ruleHeld;
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
