#include "platformfleet.h"

#include <client/testclient.h>
#include <gateway/journal.h>
#include <net/httpclient.h>
#include <platform/storeclient.h>

#include <catch2/catch.hpp>

#include <csignal>

using namespace ragwortreach;
using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

/// Batches of a minute on a site with eight trainers.
constexpr int batchCount = 120;
constexpr int itemCount = 170;
/// Longer than what the journal holds by itself.
constexpr std::size_t textBytes = 700;
/// What the log gives out for each daemon at the target: 80 MB/s for 400 daemons.
constexpr double bytesPerSecond = 200e3;
/// Bound for the time until a fleet serves again.
constexpr std::chrono::seconds recoveryTime = 15s;

/// Time after which a daemon no longer counts as ready for what it knew before.
constexpr std::chrono::seconds noticeTime = 3s;

/// Ids are as long as those of the users' platform.
std::string batchName(int batch)
{
    return "ended-batch-" + std::to_string(1000 + batch);
}

std::string itemName(int item)
{
    return "finished-itm-" + std::to_string(100 + item);
}

batch_submission submission(int batch)
{
    batch_submission submitted;
    submitted.id = batchName(batch);
    submitted.host = "lace.example";
    submitted.model = "lace-7b";
    for (int item = 0; item < itemCount; ++item)
        submitted.items.push_back({ itemName(item), "/lots/1", {}, "lace", 90, 0, "g" });
    return submitted;
}

/// Writes batches to the journal as an owner does, each with all its results and its end.
void writeEndedBatches(const std::string& store)
{
    boost::asio::io_context context;
    http_client client(context);
    platform::store_client log(client, *parseEndpoint(store));
    journal writer(context, log, {}, "entry-north-a-17-12345678901234567890", [](const ledger_batch&) {});
    const auto finishWrites = [&context, &writer] {
        while (writer.pendingWrites() > 0)
            context.run_one();
    };
    for (int batch = 0; batch < batchCount; ++batch)
        writer.write(batch_accepted { submission(batch) }, write_mode::RetryOnRefusal, {});
    finishWrites();
    for (int batch = 0; batch < batchCount; ++batch) {
        for (int item = 0; item < itemCount; ++item) {
            const item_text text { std::string(textBytes, 'l'), 10, { 1 }, true };
            writer.write(item_finished { batchName(batch), itemName(item), true, text }, write_mode::RetryOnRefusal, {});
        }
        finishWrites();
        writer.write(batch_ended { batchName(batch) }, write_mode::RetryOnRefusal, {});
    }
    finishWrites();
}

/// Whether the daemon lists a whole batch from its start.
bool listsBatch(const platform_fleet& fleet, std::size_t daemon, int batch)
{
    const http_reply reply = send(fleet.caller(daemon), "GET", "/api/lots/" + batchName(batch) + "?after=0", nullptr, { { "Host", "lace.example" } });
    return reply.status == 200 && reply.json()["results"].size() == itemCount;
}

struct start_case {
    const char* name;
    /// Signal before the batches are written.
    int signal;
};

const start_case startCases[] = {
    { "the log drops its history while the daemons are frozen", SIGSTOP },
    { "all daemons start at once", SIGKILL },
};

}

// Ended batches could not be read for the rest of the day once 300 daemons read the whole journal at the same time.
TEST_CASE("A fleet that reads the log anew at the same time is ready and lists ended batches within the recovery time")
{
    constexpr std::size_t daemons = 8;
    for (const start_case& row : startCases) {
        DYNAMIC_SECTION(row.name)
        {
            platform_fleet fleet(daemons);
            const bool isStart = row.signal == SIGKILL;
            for (std::size_t daemon = 0; daemon < daemons; ++daemon)
                fleet.daemon(daemon).signal(row.signal);
            writeEndedBatches(fleet.storeAddress(0));
            fleet.run([&fleet] {
                fleet.store().setReadRate(daemons * bytesPerSecond);
                fleet.store().compact();
            });
            const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + recoveryTime;
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                if (isStart)
                    fleet.start(daemon);
                else
                    fleet.daemon(daemon).signal(SIGCONT);
            }
            std::this_thread::sleep_for(noticeTime);
            for (std::size_t daemon = 0; daemon < daemons; ++daemon)
                CHECK(waitUntil([&fleet, daemon] { return fleet.isReady(daemon); }, deadline));
            for (const int batch : { 0, batchCount / 2 })
                CHECK(waitUntil([&fleet, batch] { return listsBatch(fleet, static_cast<std::size_t>(batch) % daemons, batch); }, deadline));
        }
    }
}
