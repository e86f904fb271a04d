#include "memorylog.h"

#include <gateway/bootclock.h>
#include <gateway/platformview.h>
#include <support/log.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds heartbeat = 50ms;

/// Record of the list of replicas; one without a state removes the entry.
struct list_record {
    std::uint64_t startedAt = 0;
    std::uint64_t number = 0;
    const char* state = nullptr;
};

struct list_case {
    const char* name;
    std::vector<list_record> records;
    /// Whether a request may go to the replica, and may do so where others take it as well.
    bool isUsable;
    bool isFirstChoice;
};

const list_case listCases[] = {
    { "ready", { { 5, 1, "ready" } }, true, true },
    { "leaving", { { 5, 1, "ready" }, { 5, 4, "draining" } }, false, false },
    { "an entry from before the leaving is late", { { 5, 1, "ready" }, { 5, 4, "draining" }, { 5, 3, "ready" } }, false, false },
    { "an entry from before the leaving is late, and only that is read of it", { { 5, 3, "ready" }, { 5, 4, "draining" }, { 5, 3, "ready" } }, false, false },
    { "an entry of an earlier start is late while the new one leaves", { { 5, 1, "ready" }, { 5, 4, "draining" }, { 4, 9, "ready" } }, false, false },
    { "an entry that says that an earlier start leaves is late", { { 5, 1, "ready" }, { 4, 9, "draining" } }, true, true },
    { "an entry is late after the leaving and the removal", { { 5, 1, "ready" }, { 5, 4, "draining" }, {}, { 5, 3, "ready" } }, false, false },
    { "an entry is late after a removal without a leaving", { { 5, 3, "ready" }, {}, { 5, 2, "ready" } }, false, false },
    { "listed again after a removal", { { 5, 1, "ready" }, {}, { 5, 7, "ready" } }, true, false },
    { "an entry of an earlier start is late after the removal", { { 5, 1, "ready" }, {}, { 4, 7, "ready" } }, false, false },
    { "started again", { { 5, 9, "ready" }, { 5, 10, "draining" }, { 6, 1, "ready" } }, true, true },
    { "started again after the removal", { { 5, 9, "ready" }, { 5, 10, "draining" }, {}, { 6, 1, "ready" } }, true, true },
};

/// A view that follows a log in memory.
struct view_fixture {
    view_fixture()
        : log(context)
        , logger({}, "vm1")
        , pool("north-a")
        , view(context, log, routes, pool, logger, { [] {}, [](const std::string&, std::uint64_t) {} })
    {
        view.setReplicaHeartbeat(heartbeat);
    }

    void write(const list_record& record)
    {
        keyed_record written { "r1", std::nullopt, 0 };
        if (record.state) {
            written.value = nlohmann::json { { "service", "shop" }, { "address", "127.0.0.1:9" }, { "zone", "north-a" }, { "version", "v1" }, { "slots", 8 },
                { "state", record.state }, { "seq_no", record.number }, { "born", record.startedAt } }
                                .dump();
        }
        bool isDone = false;
        log.append({ "keyed.servers", 0 }, { "writer", 1, sequence++ }, std::span(&written, 1), [&isDone](const append_outcome&) { isDone = true; });
        runUntil([&isDone] { return isDone; });
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        context.restart();
        while (!isDone())
            REQUIRE(context.run_one_for(10s) == 1);
    }

    /// Lets the view read all that was written.
    void follow()
    {
        const instant writtenAt = bootNow();
        runUntil([this, writtenAt] { return view.replicas().confirmedAt() > writtenAt; });
    }

    const replica_pool::replica* pick() { return pool.pick({ "shop" }, bootNow()); }

    boost::asio::io_context context;
    memory_log log;
    ragwortreach::log logger;
    route_table routes;
    replica_pool pool;
    platform_view view;
    std::uint64_t sequence = 0;
};

}

// review/8: a heartbeat that the log carried out late listed a leaving replica as ready, and a request reached it 3.2 s after.
TEST_CASE("Requests go to a replica by the newest of its entries, whatever the order in which the log carried them out")
{
    for (const list_case& row : listCases) {
        DYNAMIC_SECTION(row.name)
        {
            view_fixture fixture;
            fixture.view.start();
            for (const list_record& record : row.records) {
                fixture.write(record);
                fixture.follow();
            }
            const replica_pool::replica* const picked = fixture.pick();
            CHECK((picked != nullptr) == row.isUsable);
            CHECK((picked && !fixture.pool.isLastResort(*picked, bootNow())) == row.isFirstChoice);
        }
    }
}

TEST_CASE("A daemon that starts later learns of a leaving from the others, where the list no longer says so")
{
    view_fixture fixture;
    fixture.write({ 5, 4, "draining" });
    fixture.write({ 5, 3, "ready" });
    fixture.view.start();
    fixture.follow();
    CHECK(fixture.pick());
    fixture.pool.noteLeaving({ { "r1", 5 }, bootNow() });
    CHECK_FALSE(fixture.pick());
}

TEST_CASE("A replica whose clock was set back is used once its entry has stood")
{
    view_fixture fixture;
    fixture.view.start();
    for (const list_record& record : { list_record { 5, 9, "ready" }, list_record {}, list_record { 4, 1, "ready" } }) {
        fixture.write(record);
        fixture.follow();
    }
    CHECK_FALSE(fixture.pick());
    const instant readAt = bootNow();
    while (bootNow() - readAt < (replica_history::confirmingHeartbeats + 1) * heartbeat) {
        fixture.context.run_for(10ms);
        fixture.view.tick();
    }
    CHECK(fixture.pick());
    CHECK(fixture.view.counters().lateEntries == 1);
}
