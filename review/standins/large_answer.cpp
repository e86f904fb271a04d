/// Case: large answers on a route whose time-out a new version of the configuration shortens.
#include "fleet.h"
#include "record.h"
#include "replica.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <thread>

#include <unistd.h>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::size_t daemons = 3;
constexpr int replicasInService = 5;
constexpr int clients = 12;
constexpr std::chrono::seconds length { 30 };
/// Time that the clients allow, and timeout_ms of the route before and after the change.
constexpr int deadlineMs = 4000;
constexpr int timeoutBeforeMs = 4000;
constexpr int timeoutAfterMs = 2000;
constexpr int workMs = 1200;
constexpr std::size_t answerBytes = 600000;
/// The rule counts from the fourth one on.
constexpr int allowed = 3;

struct outcome_counts {
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> late = 0;
    /// Connections that had served a request before.
    std::atomic<int> cut = 0;
    std::atomic<int> cutOnNew = 0;
};

/// Sends requests on a kept connection, one after the other.
void runClient(const std::string& daemon, int number, clock::time_point end, outcome_counts& counts)
{
    std::unique_ptr<connection> kept;
    int answeredOnIt = 0;
    for (int request = 0; clock::now() < end; ++request) {
        const std::string id = "c" + std::to_string(number) + "r" + std::to_string(request);
        if (!kept) {
            kept = std::make_unique<connection>(connectTo(daemon));
            answeredOnIt = 0;
        }
        const clock::time_point begin = clock::now();
        const bool isSent = kept->send(requestText("POST", "/pages/" + id, { { "Host", host }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) } }, std::to_string(workMs)));
        const http_message response = isSent ? kept->readResponse(begin + milliseconds(deadlineMs)) : http_message();
        const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
        if (response.isComplete) {
            ++(response.status == 200 ? counts.answered : counts.refused);
            ++answeredOnIt;
            if (response.header("Connection") == "close")
                kept.reset();
            continue;
        }
        kept.reset();
        if (took >= timeoutAfterMs) {
            ++counts.late;
            continue;
        }
        ++(answeredOnIt > 0 ? counts.cut : counts.cutOnNew);
        record("request " + id + ": the connection ends without a complete answer after " + std::to_string(took) + " ms; the route allows " + std::to_string(timeoutAfterMs) + " ms, the work takes " + std::to_string(workMs) + " ms");
    }
}

int run()
{
    store& platform = *new store(daemons);
    json pages = route("pages", "/pages/", "idempotent", "shop", timeoutBeforeMs);
    pages["max_attempts"] = 2;
    configure(platform, 3, json::array({ pages }), json::array({ plainService("shop") }));
    std::vector<std::unique_ptr<replica>>& replicas = *new std::vector<std::unique_ptr<replica>>;
    for (int number = 0; number < replicasInService; ++number) {
        replica_options options;
        options.id = "i-shop" + std::to_string(number);
        options.service = "shop";
        options.slots = 6;
        options.answerBytes = answerBytes;
        replicas.push_back(std::make_unique<replica>(platform, options));
    }
    fleet running(platform, daemons);
    for (std::size_t index = 0; index < daemons; ++index)
        running.start(index);
    for (std::size_t index = 0; index < daemons; ++index) {
        if (!running.awaitReady(index, std::chrono::seconds(10)))
            return couldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    outcome_counts counts;
    const clock::time_point end = clock::now() + length;
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number)
        threads.emplace_back([&running, &counts, number, end] { runClient(running.caller(static_cast<std::size_t>(number) % daemons), number, end, counts); });
    std::this_thread::sleep_for(std::chrono::seconds(8));
    if (hasTrouble()) {
        pages["timeout_ms"] = timeoutAfterMs;
        configure(platform, 8, json::array({ pages }), json::array({ plainService("shop") }));
        record("the new version shortens timeout_ms from " + std::to_string(timeoutBeforeMs) + " to " + std::to_string(timeoutAfterMs));
    }
    for (std::thread& thread : threads)
        thread.join();
    record(std::to_string(counts.answered) + " requests answered, " + std::to_string(counts.refused) + " with another status, " + std::to_string(counts.late) + " without an answer in their time, " + std::to_string(counts.cut)
        + " kept connections closed sooner without a complete answer, " + std::to_string(counts.cutOnNew) + " at their first request");
    if (counts.answered == 0)
        return couldNotRun;
    return counts.cut > allowed ? ruleBroken : ruleHeld;
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
