/// Not a case, but a finding of the report: batch jobs that are handed in after one of 4 MB, which is within the operator's
/// limit of a body. Run it with a folder for record.txt.
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
constexpr int jobs = 120;
constexpr int timeoutMs = 10000;
/// Time that the rule allows beyond the route's timeout_ms.
constexpr milliseconds slack { 500 };
/// Unanswered requests from which on the rule counts.
constexpr int leastUnanswered = 8;
/// Items of the large job and the size of the body of each: 3 MB in all, in base64 4 MB; max_body_bytes is 32 MB.
constexpr int largeItems = 600;
constexpr std::size_t largeItemBytes = 5000;

const std::string prefix = "/pufi791/";
const std::string model = "daka510000";

struct handed_in {
    std::string id;
    int status = 0;
    milliseconds took {};
};

/// Hands in a job and waits for the answer a little longer than the rule allows.
handed_in handIn(const std::string& daemon, const std::string& id)
{
    const clock::time_point begin = clock::now();
    const json job = batchJob(id, prefix, model, 2, 2);
    const http_message response = call(daemon, "POST", prefix + id, { { "Host", host }, { "Request-Id", id }, { "Content-Type", "application/json" }, { "Deadline-Ms", "12000" } },
        job.dump(), milliseconds(timeoutMs) + 2 * slack);
    const milliseconds took = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
    record("batch job " + id + (response.isComplete ? " answered " + std::to_string(response.status) : std::string(" has no answer")) + " after " + std::to_string(took.count()) + " ms");
    return { id, response.isComplete ? response.status : 0, took };
}

void handInLargeJob(fleet& running)
{
    json job = batchJob("large", prefix, model, largeItems, 1);
    for (json& item : job["items"])
        item["body"] = encodeBase64(std::string(largeItemBytes, 'p'));
    record("the large batch job has a body of " + std::to_string(job.dump().size()) + " bytes; the operator's max_body_bytes is 33554432");
    // After an answer of 503 or no answer, the same job arrives again, at another daemon.
    for (std::size_t index = 0; index < daemons; ++index) {
        if (submit(running.caller(index), prefix, "large", job) == 202)
            return;
    }
}

int run()
{
    store& platform = *new store(daemons);
    configure(platform, 3, json::array({ route("lots", prefix, "rollout", "engines", timeoutMs) }), json::array({ engineService("engines", { model }, 12) }));
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
    for (std::size_t index = 0; index < daemons; ++index)
        running.start(index);
    for (std::size_t index = 0; index < daemons; ++index) {
        if (!running.awaitReady(index, std::chrono::seconds(10)))
            return couldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    if (handIn(running.caller(0), "first").status != 202)
        return couldNotRun;
    if (hasTrouble())
        handInLargeJob(running);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::vector<handed_in> all(jobs);
    std::vector<std::thread> clients;
    for (int number = 0; number < jobs; ++number) {
        clients.emplace_back([&running, &all, number] { all[static_cast<std::size_t>(number)] = handIn(running.caller(static_cast<std::size_t>(number) % daemons), "job" + std::to_string(number)); });
        std::this_thread::sleep_for(milliseconds(150));
    }
    for (std::thread& client : clients)
        client.join();
    int late = 0;
    int unanswered = 0;
    for (const handed_in& one : all) {
        late += one.took >= milliseconds(timeoutMs) ? 1 : 0;
        unanswered += one.status == 0 && one.took >= milliseconds(timeoutMs) + slack ? 1 : 0;
    }
    record(std::to_string(late) + " of " + std::to_string(jobs) + " batch jobs had no answer at timeout_ms, " + std::to_string(unanswered) + " of them none half a second later");
    return unanswered >= leastUnanswered && 2 * unanswered > late ? ruleBroken : ruleHeld;
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
