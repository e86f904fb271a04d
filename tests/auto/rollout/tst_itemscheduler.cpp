#include "rolloutfixture.h"

#include <rollout/itemscheduler.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// A scheduler with two replicas of \a slots slots each, and its effects since the last look.
struct scheduler_world {
    explicit scheduler_world(std::uint32_t slots, bool isSingleVersion = false)
        : pool("north-a")
        , scheduler(ledger, pool, routes)
    {
        route_configuration configuration = makeConfiguration({ testModel }, slots);
        configuration.routes[0].isSingleVersion = isSingleVersion;
        routes.setConfiguration(configuration);
        pool.update(makeReplica("r1", "north-a", 1));
        pool.update(makeReplica("r2", "north-a", 1));
        scheduler.setOwnedModels({ testModel }, at(-1s));
    }

    template <typename effect>
    std::vector<effect> take(std::chrono::milliseconds time)
    {
        scheduler.schedule(at(time));
        std::vector<effect> taken;
        for (scheduler_effect& item : scheduler.takeEffects()) {
            if (std::holds_alternative<effect>(item))
                taken.push_back(std::get<effect>(item));
        }
        return taken;
    }

    start_run startOne(std::chrono::milliseconds time)
    {
        const std::vector<start_run> started = take<start_run>(time);
        REQUIRE(started.size() == 1);
        return started[0];
    }

    void feed(run_number run, std::uint64_t id, const std::string& data, std::chrono::milliseconds time = 0ms)
    {
        scheduler.onEvent(run, { id, data, std::nullopt, "" }, at(time));
    }

    batch_ledger ledger;
    replica_pool pool;
    route_table routes;
    item_scheduler scheduler;
};

item_finished finishedOf(const write_record& effect)
{
    REQUIRE(std::holds_alternative<item_finished>(effect.record));
    return std::get<item_finished>(effect.record);
}

struct end_case {
    const char* name;
    run_end end;
    int times;
    bool isAbandoned;
};

const end_case endCases[] = {
    { "impossible at once", run_end::Impossible, 1, true },
    { "failed twice", run_end::Failed, 2, false },
    { "failed as often as the route allows", run_end::Failed, 3, true },
    { "broken often", run_end::Interrupted, 6, false },
    { "not run often", run_end::NotRun, 6, false },
    { "unreachable often", run_end::Unreachable, 6, false },
};

}

TEST_CASE("Items of a group go to one replica while it has room")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 2, 4) }, at(0ms));
    std::map<std::size_t, std::set<std::string>> replicasOfGroup;
    for (const start_run& run : world.take<start_run>(0ms))
        replicasOfGroup[run.item / 4].insert(run.replica);
    CHECK(replicasOfGroup[0].size() == 1);
    CHECK(replicasOfGroup[1].size() == 1);
    CHECK(replicasOfGroup[0] != replicasOfGroup[1]);
}

TEST_CASE("No replica gets more items than it has slots")
{
    scheduler_world world(3);
    world.ledger.apply(batch_accepted { makeBatch("b", 4, 4) }, at(0ms));
    CHECK(world.take<start_run>(0ms).size() == 6);
    CHECK(world.take<start_run>(1ms).empty());
}

TEST_CASE("A batch whose trainer has what it waits for comes after the next one")
{
    scheduler_world world(1);
    batch_submission first = makeBatch("first", 3, 1);
    first.wantedGroups = 1;
    world.ledger.apply(batch_accepted { first }, at(0ms));
    world.ledger.apply(batch_accepted { makeBatch("second", 1, 1) }, at(0ms));
    world.ledger.apply(item_finished { "first", "first-0-0", true, { "text", 1, { 1 } } }, at(0ms));
    const std::vector<start_run> runs = world.take<start_run>(0ms);
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].batch == "second");
    CHECK(runs[1].batch == "first");
}

TEST_CASE("A whole stream becomes one result with its versions")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = world.startOne(0ms);
    world.scheduler.onHead(run.run, 1);
    world.feed(run.run, 1, "one");
    world.scheduler.onEvent(run.run, { 2, "two", 2, "" }, at(0ms));
    world.scheduler.onEnd(run.run, run_end::Complete, at(0ms));
    const std::vector<write_record> written = world.take<write_record>(0ms);
    REQUIRE(written.size() == 1);
    const item_finished result = finishedOf(written[0]);
    CHECK(result.isCompleted);
    CHECK(result.output.text == "one\ntwo");
    CHECK(result.output.versions == std::vector<std::uint64_t> { 1, 2 });
    CHECK(world.take<start_run>(1ms).empty());
}

TEST_CASE("A broken stream goes on elsewhere after its last event")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = world.startOne(0ms);
    world.scheduler.onHead(first.run, 1);
    world.feed(first.run, 1, "one");
    world.scheduler.onEnd(first.run, run_end::Interrupted, at(0ms));
    const start_run second = world.startOne(1ms);
    CHECK(second.afterEvent == 1);
    CHECK(second.replica != first.replica);
    world.scheduler.onHead(second.run, 1);
    world.feed(second.run, 2, "two");
    world.scheduler.onEnd(second.run, run_end::Complete, at(2ms));
    CHECK(finishedOf(world.take<write_record>(2ms).at(0)).output.text == "one\ntwo");
}

TEST_CASE("Text joins only in order and with a version that is known")
{
    struct order_case {
        const char* name;
        std::optional<std::uint64_t> version;
        std::uint64_t event;
    };
    const order_case cases[] = { { "gap", 1, 3 }, { "repeat", 1, 1 }, { "no version", std::nullopt, 2 } };
    for (const order_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_world world(4);
            world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            const start_run run = world.startOne(0ms);
            world.scheduler.onHead(run.run, 1);
            world.feed(run.run, 1, "one");
            world.scheduler.onHead(run.run, row.version);
            world.feed(run.run, row.event, "odd");
            CHECK(world.startOne(1ms).afterEvent == 1);
        }
    }
}

TEST_CASE("Text of weights that are too old, or of a second version where one is asked for, is dropped")
{
    scheduler_world old(4);
    batch_submission batch = makeBatch("b", 1, 1);
    batch.minVersion = 1;
    old.ledger.apply(batch_accepted { batch }, at(0ms));
    const start_run run = old.startOne(0ms);
    old.scheduler.onHead(run.run, 0);
    old.feed(run.run, 1, "one");
    CHECK(old.scheduler.counters().textsDropped == 1);
    CHECK(old.startOne(1ms).afterEvent == 0);

    scheduler_world single(4, true);
    single.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run mixed = single.startOne(0ms);
    single.scheduler.onHead(mixed.run, 1);
    single.feed(mixed.run, 1, "one");
    single.scheduler.onEvent(mixed.run, { 2, "two", 2, "" }, at(0ms));
    CHECK(single.startOne(1ms).afterEvent == 0);
}

TEST_CASE("An item is given up only for the reasons that the route names")
{
    for (const end_case& row : endCases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_world world(4);
            world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            std::vector<write_record> written;
            std::chrono::milliseconds time = 0ms;
            for (int number = 0; number < row.times; ++number) {
                time += 20s / row.times;
                world.scheduler.onEnd(world.startOne(time).run, row.end, at(time));
                for (write_record& effect : world.take<write_record>(time))
                    written.push_back(std::move(effect));
            }
            REQUIRE(written.size() == (row.isAbandoned ? 1U : 0U));
            if (row.isAbandoned)
                CHECK_FALSE(finishedOf(written[0]).isCompleted);
        }
    }
}

TEST_CASE("An item is given up when its time is over, not before")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    world.pool.remove("r1");
    world.pool.remove("r2");
    CHECK(world.take<write_record>(40s).empty());
    CHECK(world.take<write_record>(40001ms).size() == 1);
}

TEST_CASE("A run without events is moved")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = world.startOne(0ms);
    CHECK(world.take<cancel_run>(2500ms).empty());
    world.scheduler.schedule(at(2501ms));
    const std::vector<scheduler_effect> effects = world.scheduler.takeEffects();
    REQUIRE(effects.size() == 2);
    CHECK(std::get<cancel_run>(effects[0]).run == first.run);
    CHECK(std::get<start_run>(effects[1]).replica != first.replica);
}

TEST_CASE("Runs end when their batch ends, and runs of a batch of another owner are handed over")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = world.startOne(0ms);
    SECTION("ended")
    {
        world.ledger.apply(batch_ended { "b" }, at(0ms));
        CHECK(world.take<cancel_run>(1ms).size() == 1);
        CHECK(world.scheduler.runs() == 0);
    }
    SECTION("handed over")
    {
        world.scheduler.onHead(run.run, 1);
        world.feed(run.run, 1, "one");
        world.scheduler.setOwnedModels({}, at(1ms));
        const std::vector<write_record> written = world.take<write_record>(1ms);
        REQUIRE(written.size() == 1);
        CHECK(std::get<item_progressed>(written[0].record).output.text == "one");
        CHECK(world.scheduler.runs() == 0);
        world.ledger.apply(written[0].record, at(2ms));
        world.scheduler.setOwnedModels({ testModel }, at(3ms));
        CHECK(world.take<start_run>(900ms).empty());
        world.scheduler.setRecovered(testModel);
        CHECK(world.startOne(901ms).afterEvent == 1);
    }
}

TEST_CASE("Runs leave a replica that is much slower than the others")
{
    scheduler_world world(4);
    world.pool.update(makeReplica("r3", "north-a", 1));
    world.ledger.apply(batch_accepted { makeBatch("b", 3, 2) }, at(0ms));
    std::vector<start_run> runs = world.take<start_run>(0ms);
    REQUIRE(runs.size() == 6);
    for (const start_run& run : runs)
        world.scheduler.onHead(run.run, 1);
    std::map<run_number, std::uint64_t> events;
    std::vector<cancel_run> cancelled;
    std::vector<start_run> moved;
    for (std::chrono::milliseconds now = 40ms; now <= 2s; now += 40ms) {
        for (const start_run& run : runs) {
            const bool isDue = run.replica != "r2" || now % 120ms == 0ms;
            if (isDue)
                world.feed(run.run, ++events[run.run], "x", now);
        }
        world.scheduler.schedule(at(now));
        for (const scheduler_effect& effect : world.scheduler.takeEffects()) {
            if (std::holds_alternative<cancel_run>(effect))
                cancelled.push_back(std::get<cancel_run>(effect));
            if (std::holds_alternative<start_run>(effect))
                moved.push_back(std::get<start_run>(effect));
        }
        if (!moved.empty())
            break;
    }
    REQUIRE(cancelled.size() == 2);
    REQUIRE(moved.size() == 2);
    for (const start_run& run : moved) {
        CHECK(run.replica != "r2");
        CHECK(run.afterEvent > 0);
    }
    CHECK(world.scheduler.counters().runsMoved == 2);
}

TEST_CASE("A new owner waits for the texts of the owner before, but not for long")
{
    struct wait_case {
        const char* name;
        bool isRecovered;
        std::chrono::milliseconds waited;
    };
    const wait_case cases[] = { { "recovered at once: until results of the owner before are in", true, 300ms }, { "no answer", false, 1000ms } };
    for (const wait_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_world world(4);
            world.scheduler.setOwnedModels({}, at(-1s));
            world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            world.scheduler.setOwnedModels({ testModel }, at(0ms));
            if (row.isRecovered)
                world.scheduler.setRecovered(testModel);
            CHECK(world.take<start_run>(row.waited - 1ms).empty());
            CHECK(world.take<start_run>(row.waited).size() == 1);
        }
    }
}

TEST_CASE("Texts of an owner before are gone on with when they fit")
{
    struct adopt_case {
        const char* name;
        item_text text;
        std::uint64_t afterEvent;
    };
    const adopt_case cases[] = {
        { "fits", { "one\ntwo", 2, { 2 } }, 2 },
        { "weights too old", { "one\ntwo", 2, { 1, 2 } }, 0 },
        { "no versions", { "one\ntwo", 2, {} }, 0 },
    };
    for (const adopt_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_world world(4);
            world.pool.update(makeReplica("r1", "north-a", 2));
            batch_submission batch = makeBatch("b", 1, 1);
            batch.minVersion = 2;
            world.ledger.apply(batch_accepted { batch }, at(0ms));
            CHECK(world.scheduler.adoptText(*world.ledger.find("b"), 0, row.text, at(0ms)) == (row.afterEvent != 0));
            CHECK(world.startOne(0ms).afterEvent == row.afterEvent);
        }
    }
}

TEST_CASE("Long texts are saved each time that they have grown enough")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = world.startOne(0ms);
    world.scheduler.onHead(run.run, 1);
    std::vector<std::uint64_t> saved;
    for (std::uint64_t event = 1; event <= 30; ++event) {
        world.feed(run.run, event, "x");
        for (const item_progressed& text : world.scheduler.takeProgress(at(0ms)))
            saved.push_back(text.output.lastEvent);
    }
    CHECK(saved == std::vector<std::uint64_t> { 12, 24 });
}

TEST_CASE("Items that a trainer asks for again go on with what is known of them")
{
    scheduler_world world(4);
    world.ledger.apply(batch_accepted { makeBatch("first", 1, 2) }, at(0ms));
    const std::vector<start_run> runs = world.take<start_run>(0ms);
    REQUIRE(runs.size() == 2);
    for (const start_run& run : runs)
        world.scheduler.onHead(run.run, 1);
    const text_reference place { "first/first-0-0/writer", 0, 5, 1, 700 };
    world.ledger.apply(item_finished { "first", "first-0-0", true, { "", 9, { 1 } }, place }, at(1ms));
    world.feed(runs[1].run, 1, "one");
    world.ledger.apply(batch_ended { "first" }, at(2ms));
    CHECK(world.take<cancel_run>(2ms).size() == 2);
    batch_submission again = makeBatch("second", 1, 2);
    again.items[0].id = "first-0-0";
    again.items[1].id = "first-0-1";
    SECTION("the versions fit")
    {
        world.ledger.apply(batch_accepted { again }, at(3ms));
        world.scheduler.schedule(at(3ms));
        const std::vector<scheduler_effect> effects = world.scheduler.takeEffects();
        REQUIRE(effects.size() == 2);
        const item_finished result = finishedOf(std::get<write_record>(effects[0]));
        CHECK(result.batch == "second");
        CHECK(result.item == "first-0-0");
        REQUIRE(result.reference);
        CHECK(result.reference->key == place.key);
        CHECK(std::get<start_run>(effects[1]).afterEvent == 1);
    }
    SECTION("the versions are too old")
    {
        again.minVersion = 2;
        world.pool.update(makeReplica("r1", "north-a", 2));
        world.ledger.apply(batch_accepted { again }, at(3ms));
        const std::vector<start_run> started = world.take<start_run>(3ms);
        REQUIRE(started.size() == 2);
        CHECK(started[0].afterEvent == 0);
        CHECK(started[1].afterEvent == 0);
    }
    SECTION("the item has another body")
    {
        again.items[0].body = "another prompt";
        world.ledger.apply(batch_accepted { again }, at(3ms));
        CHECK(world.take<start_run>(3ms).size() == 2);
    }
}
