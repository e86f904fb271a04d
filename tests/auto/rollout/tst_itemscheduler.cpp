#include <support/rolloutfixture.h>

#include <rollout/itemscheduler.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// A scheduler that owns the model of the tests, with two replicas of \a slots slots each.
struct scheduler_fixture {
    explicit scheduler_fixture(std::uint32_t slots, bool isSingleVersion = false)
        : pool("north-a")
        , scheduler(ledger, pool, routes)
    {
        route_configuration configuration = makeConfiguration({ testModel }, slots);
        configuration.routes[0].isSingleVersion = isSingleVersion;
        routes.setConfiguration(configuration);
        pool.update(makeReplica("r1", "north-a", 1));
        pool.update(makeReplica("r2", "north-a", 1));
        scheduler.setOwnedModels({ testModel }, at(-1s));
        ledger.setConfirmedAt(0, alwaysConfirmed);
    }

    template <typename effect>
    std::vector<effect> take(std::chrono::milliseconds time)
    {
        routes.setConfirmedAt(at(time));
        return takeWithoutConfirming<effect>(time);
    }

    template <typename effect>
    std::vector<effect> takeWithoutConfirming(std::chrono::milliseconds time)
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
    { "impossible", run_end::Impossible, 1, true },
    { "failed twice", run_end::Failed, 2, false },
    { "failed as often as the route allows", run_end::Failed, 3, true },
    { "interrupted often", run_end::Interrupted, 6, false },
    { "not run often", run_end::NotRun, 6, false },
    { "unreachable often", run_end::Unreachable, 6, false },
};

}

TEST_CASE("Items of a group go to one replica while it has free slots")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 2, 4) }, at(0ms));
    std::map<std::size_t, std::set<std::string>> replicasOfGroup;
    for (const start_run& run : fixture.take<start_run>(0ms))
        replicasOfGroup[run.item / 4].insert(run.replica);
    CHECK(replicasOfGroup[0].size() == 1);
    CHECK(replicasOfGroup[1].size() == 1);
    CHECK(replicasOfGroup[0] != replicasOfGroup[1]);
}

TEST_CASE("No replica gets more items than it has slots")
{
    scheduler_fixture fixture(3);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 4, 4) }, at(0ms));
    CHECK(fixture.take<start_run>(0ms).size() == 6);
    CHECK(fixture.take<start_run>(1ms).empty());
}

TEST_CASE("A batch whose wanted groups are complete comes after the next batch")
{
    scheduler_fixture fixture(1);
    batch_submission first = makeBatch("first", 3, 1);
    first.wantedGroups = 1;
    fixture.ledger.apply(batch_accepted { first }, at(0ms));
    fixture.ledger.apply(batch_accepted { makeBatch("second", 1, 1) }, at(0ms));
    fixture.ledger.apply(item_finished { "first", "first-0-0", true, { "text", 1, { 1 } } }, at(0ms));
    const std::vector<start_run> runs = fixture.take<start_run>(0ms);
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].batch == "second");
    CHECK(runs[1].batch == "first");
}

TEST_CASE("A complete stream gives one result with the versions of its weights")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = fixture.startOne(0ms);
    fixture.scheduler.onHead(run.run, 1);
    fixture.feed(run.run, 1, "one");
    fixture.scheduler.onEvent(run.run, { 2, "two", 2, "" }, at(0ms));
    fixture.scheduler.onEnd(run.run, run_end::Complete, at(0ms));
    const std::vector<write_record> written = fixture.take<write_record>(0ms);
    REQUIRE(written.size() == 1);
    const item_finished result = finishedOf(written[0]);
    CHECK(result.isCompleted);
    CHECK(result.output.text == "one\ntwo");
    CHECK(result.output.versions == std::vector<std::uint64_t> { 1, 2 });
    CHECK(fixture.take<start_run>(1ms).empty());
}

TEST_CASE("An interrupted stream resumes on another replica after its last event")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = fixture.startOne(0ms);
    fixture.scheduler.onHead(first.run, 1);
    fixture.feed(first.run, 1, "one");
    fixture.scheduler.onEnd(first.run, run_end::Interrupted, at(0ms));
    const start_run second = fixture.startOne(1ms);
    CHECK(second.afterEvent == 1);
    CHECK(second.replica != first.replica);
    fixture.scheduler.onHead(second.run, 1);
    fixture.feed(second.run, 2, "two");
    fixture.scheduler.onEnd(second.run, run_end::Complete, at(2ms));
    CHECK(finishedOf(fixture.take<write_record>(2ms).at(0)).output.text == "one\ntwo");
}

TEST_CASE("An event is accepted only in order and with a known version")
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
            scheduler_fixture fixture(4);
            fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            const start_run run = fixture.startOne(0ms);
            fixture.scheduler.onHead(run.run, 1);
            fixture.feed(run.run, 1, "one");
            fixture.scheduler.onHead(run.run, row.version);
            fixture.feed(run.run, row.event, "odd");
            CHECK(fixture.startOne(1ms).afterEvent == 1);
        }
    }
}

TEST_CASE("A text is dropped when its weights are too old or, on a single-version route, of a second version")
{
    scheduler_fixture old(4);
    batch_submission batch = makeBatch("b", 1, 1);
    batch.minVersion = 1;
    old.ledger.apply(batch_accepted { batch }, at(0ms));
    const start_run run = old.startOne(0ms);
    old.scheduler.onHead(run.run, 0);
    old.feed(run.run, 1, "one");
    CHECK(old.scheduler.counters().textsDropped == 1);
    CHECK(old.startOne(1ms).afterEvent == 0);

    scheduler_fixture single(4, true);
    single.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run mixed = single.startOne(0ms);
    single.scheduler.onHead(mixed.run, 1);
    single.feed(mixed.run, 1, "one");
    single.scheduler.onEvent(mixed.run, { 2, "two", 2, "" }, at(0ms));
    CHECK(single.startOne(1ms).afterEvent == 0);
}

TEST_CASE("While no replica can be reached, an item is tried ever less often, and at once when a replica runs it again")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    std::size_t runs = 0;
    for (std::chrono::milliseconds now = 0ms; now < 2s; now += 1ms) {
        for (const start_run& run : fixture.take<start_run>(now)) {
            ++runs;
            fixture.scheduler.onEnd(run.run, run_end::Unreachable, at(now));
        }
    }
    CHECK(runs <= 10);
    CHECK(runs >= 5);
    const std::vector<start_run> resumed = fixture.take<start_run>(4s);
    REQUIRE(resumed.size() == 1);
    fixture.scheduler.onHead(resumed[0].run, 1);
    fixture.feed(resumed[0].run, 1, "one", 4s);
    fixture.scheduler.onEnd(resumed[0].run, run_end::Interrupted, at(4s));
    CHECK(fixture.take<start_run>(4s).size() == 1);
}

TEST_CASE("An item is abandoned only when it is impossible or failed as often as the route allows")
{
    for (const end_case& row : endCases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            std::vector<write_record> written;
            std::chrono::milliseconds time = 0ms;
            for (int number = 0; number < row.times; ++number) {
                time += 20s / row.times;
                fixture.scheduler.onEnd(fixture.startOne(time).run, row.end, at(time));
                for (write_record& effect : fixture.take<write_record>(time))
                    written.push_back(std::move(effect));
            }
            REQUIRE(written.size() == (row.isAbandoned ? 1U : 0U));
            if (row.isAbandoned)
                CHECK_FALSE(finishedOf(written[0]).isCompleted);
        }
    }
}

// Valid events without end filled the memory with the text of one item.
TEST_CASE("A text that is larger than its item's tokens can need is dropped, and the item starts anew at another replica")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = fixture.startOne(0ms);
    fixture.scheduler.onHead(first.run, 1);
    std::uint64_t event = 0;
    while (fixture.scheduler.isRunning(first.run) && event < 1000)
        fixture.feed(first.run, ++event, std::string(10000, 'x'));
    CHECK(event > 20);
    CHECK(event < 100);
    const start_run second = fixture.startOne(10ms);
    CHECK(second.afterEvent == 0);
    CHECK(second.replica != first.replica);
}

// A batch on a route that was just added was abandoned by a daemon that had not read the configuration yet.
TEST_CASE("A batch waits for a configuration as new as the one under which it was accepted, and is not abandoned for its route")
{
    struct view_case {
        const char* name;
        /// Named by the record; 0 in records of former releases.
        std::uint64_t accepted;
        /// In force at this daemon.
        std::uint64_t version;
        bool hasRoute;
        /// Time at which the configuration was confirmed, relative to that of learning of the batch.
        std::chrono::milliseconds confirmed;
        std::size_t runs;
        std::size_t abandoned;
    };
    const view_case cases[] = {
        { "route not known yet", 5, 3, false, 10ms, 0, 0 },
        { "route known, its change not", 5, 3, true, 10ms, 0, 0 },
        { "same configuration", 5, 5, true, -10ms, 1, 0 },
        { "newer configuration", 5, 7, true, -10ms, 1, 0 },
        { "route removed since", 5, 7, false, -10ms, 0, 1 },
        { "former release, configuration read before", 0, 3, false, -1ms, 0, 0 },
        { "former release, configuration read after", 0, 3, false, 0ms, 0, 1 },
        { "former release, route known", 0, 3, true, 0ms, 1, 0 },
    };
    for (const view_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            route_configuration configuration = makeConfiguration({ testModel }, 4);
            configuration.version = row.version;
            if (!row.hasRoute)
                configuration.routes.clear();
            fixture.routes.setConfiguration(configuration);
            fixture.routes.setConfirmedAt(at(row.confirmed));
            batch_submission batch = makeBatch("b", 1, 1);
            batch.configuration = row.accepted;
            fixture.ledger.apply(batch_accepted { batch }, at(0ms));
            fixture.scheduler.schedule(at(20ms));
            std::size_t runs = 0;
            std::size_t abandoned = 0;
            for (const scheduler_effect& effect : fixture.scheduler.takeEffects()) {
                runs += std::holds_alternative<start_run>(effect) ? 1 : 0;
                const write_record* const written = std::get_if<write_record>(&effect);
                abandoned += written && written->abandoned == abandon_reason::NoRoute ? 1 : 0;
            }
            CHECK(runs == row.runs);
            CHECK(abandoned == row.abandoned);
        }
    }
}

// The retention time of a configuration that had been replaced could end an item early.
TEST_CASE("An item is not abandoned by a retention time that was read before the time was over")
{
    scheduler_fixture fixture(0);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    fixture.routes.setConfirmedAt(at(39s));
    CHECK(fixture.takeWithoutConfirming<write_record>(41s).empty());
    CHECK(fixture.take<write_record>(41s).size() == 1);
}

// A text was lost when its route was not known yet to the daemon that took it over.
TEST_CASE("A saved text of one version is adopted before the route of its batch is known")
{
    scheduler_fixture fixture(4);
    batch_submission batch = makeBatch("b", 1, 1);
    batch.configuration = 2;
    batch.items[0].path = "/more/1";
    fixture.ledger.apply(batch_accepted { batch }, at(0ms));
    CHECK(fixture.scheduler.adoptText(*fixture.ledger.find("b"), 0, { "one", 1, { 1 }, false, "v1" }, at(0ms)));
    CHECK_FALSE(fixture.scheduler.adoptText(*fixture.ledger.find("b"), 0, { "one\ntwo", 2, { 1, 2 } }, at(0ms)));
}

TEST_CASE("An item is abandoned after the retention time of its route, not before")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    fixture.pool.remove("r1");
    fixture.pool.remove("r2");
    CHECK(fixture.take<write_record>(40s).empty());
    CHECK(fixture.take<write_record>(40001ms).size() == 1);
}

TEST_CASE("A run without events moves to another replica after the stall time-out")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = fixture.startOne(0ms);
    CHECK(fixture.take<cancel_run>(2500ms).empty());
    fixture.scheduler.schedule(at(2501ms));
    const std::vector<scheduler_effect> effects = fixture.scheduler.takeEffects();
    REQUIRE(effects.size() == 2);
    CHECK(std::get<cancel_run>(effects[0]).run == first.run);
    CHECK(std::get<start_run>(effects[1]).replica != first.replica);
}

TEST_CASE("Runs are cancelled when their batch ends, and handed over when their model gets another owner")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = fixture.startOne(0ms);
    SECTION("ended")
    {
        fixture.ledger.apply(batch_ended { "b" }, at(0ms));
        CHECK(fixture.take<cancel_run>(1ms).size() == 1);
        CHECK(fixture.scheduler.runs() == 0);
    }
    SECTION("handed over")
    {
        fixture.scheduler.onHead(run.run, 1);
        fixture.feed(run.run, 1, "one");
        fixture.scheduler.setOwnedModels({}, at(1ms));
        const std::vector<hand_over_text> handedOver = fixture.take<hand_over_text>(1ms);
        REQUIRE(handedOver.size() == 1);
        CHECK(handedOver[0].text.output.text == "one");
        CHECK(fixture.scheduler.runs() == 0);
        scheduler_fixture next(4);
        next.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
        next.scheduler.setOwnedModels({}, at(2ms));
        next.scheduler.setOwnedModels({ testModel }, at(3ms));
        CHECK(next.scheduler.adoptText(*next.ledger.find("b"), 0, handedOver[0].text.output, at(3ms)));
        CHECK(next.take<start_run>(900ms).empty());
        next.scheduler.setRecovered(testModel);
        CHECK(next.startOne(901ms).afterEvent == 1);
    }
}

// Texts that were handed over stood in the journal, whose tail all daemons read.
TEST_CASE("Texts that an owner hands over are to be saved for the next one, and are no records of the journal")
{
    struct hand_over_case {
        const char* name;
        /// Events of the item's run before its owner gives it up.
        std::uint64_t events;
        bool isStopped;
        std::vector<std::string> texts;
    };
    const hand_over_case cases[] = {
        { "the lease was lost", 2, false, { "x\nx" } },
        { "the lease was lost before the first event", 0, false, {} },
        { "the process stops", 2, true, { "x\nx" } },
        { "the process stops before the first event", 0, true, {} },
    };
    for (const hand_over_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            const start_run run = fixture.startOne(0ms);
            fixture.scheduler.onHead(run.run, 1);
            for (std::uint64_t event = 1; event <= row.events; ++event)
                fixture.feed(run.run, event, "x");
            if (row.isStopped)
                fixture.scheduler.handOverAll();
            else
                fixture.scheduler.setOwnedModels({}, at(1ms));
            fixture.scheduler.schedule(at(1ms));
            std::vector<std::string> texts;
            for (const scheduler_effect& effect : fixture.scheduler.takeEffects()) {
                CHECK_FALSE(std::holds_alternative<write_record>(effect));
                if (const hand_over_text* const handedOver = std::get_if<hand_over_text>(&effect))
                    texts.push_back(handedOver->text.output.text);
            }
            CHECK(texts == row.texts);
            CHECK(fixture.scheduler.counters().handedOver == row.texts.size());
        }
    }
}

TEST_CASE("A text that a former release journalled when it handed the item over is continued")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    fixture.ledger.apply(item_progressed { "b", "b-0-0", { "one\ntwo", 2, { 1 }, false, "v1" } }, at(0ms));
    CHECK(fixture.startOne(1ms).afterEvent == 2);
}

TEST_CASE("Items wait for the saved texts of their model until these were adopted, or for a time-out")
{
    struct wait_case {
        const char* name;
        bool isOwned;
        bool isRecovered;
        std::chrono::milliseconds time;
        bool isAwaited;
    };
    const wait_case cases[] = {
        { "just taken over", true, false, 0ms, true },
        { "before the time-out", true, false, 999ms, true },
        { "at the time-out", true, false, 1000ms, false },
        { "adopted", true, true, 0ms, false },
        { "owned by another daemon", false, false, 0ms, false },
    };
    for (const wait_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.scheduler.setOwnedModels({}, at(-1ms));
            if (row.isOwned)
                fixture.scheduler.setOwnedModels({ testModel }, at(0ms));
            if (row.isRecovered)
                fixture.scheduler.setRecovered(testModel);
            CHECK(fixture.scheduler.awaitsRecovery(testModel, at(row.time)) == row.isAwaited);
        }
    }
}

TEST_CASE("Runs on a replica that is much slower than the others move away, unless the ledger is behind")
{
    for (const bool isBehind : { false, true }) {
        DYNAMIC_SECTION((isBehind ? "behind" : "up to date"))
        {
            scheduler_fixture fixture(4);
            fixture.pool.update(makeReplica("r3", "north-a", 1));
            fixture.ledger.apply(batch_accepted { makeBatch("b", 3, 2) }, at(0ms));
            const std::vector<start_run> runs = fixture.take<start_run>(0ms);
            REQUIRE(runs.size() == 6);
            for (const start_run& run : runs)
                fixture.scheduler.onHead(run.run, 1);
            if (isBehind)
                fixture.ledger.setConfirmedAt(0, at(-2s));
            std::map<run_number, std::uint64_t> events;
            std::vector<cancel_run> cancelled;
            std::vector<start_run> moved;
            for (std::chrono::milliseconds now = 40ms; now <= 2s && moved.empty(); now += 40ms) {
                for (const start_run& run : runs) {
                    const bool isDue = run.replica != "r2" || now % 120ms == 0ms;
                    if (isDue)
                        fixture.feed(run.run, ++events[run.run], "x", now);
                }
                fixture.scheduler.schedule(at(now));
                for (const scheduler_effect& effect : fixture.scheduler.takeEffects()) {
                    if (std::holds_alternative<cancel_run>(effect))
                        cancelled.push_back(std::get<cancel_run>(effect));
                    if (std::holds_alternative<start_run>(effect))
                        moved.push_back(std::get<start_run>(effect));
                }
            }
            CHECK(cancelled.size() == (isBehind ? 0 : 2));
            CHECK(moved.size() == (isBehind ? 0 : 2));
            for (const start_run& run : moved) {
                CHECK(run.replica != "r2");
                CHECK(run.afterEvent > 0);
            }
            CHECK(fixture.scheduler.counters().runsMoved == (isBehind ? 0 : 2));
        }
    }
}

TEST_CASE("A new owner waits for the texts of the previous owner, but not beyond a time-out")
{
    struct wait_case {
        const char* name;
        bool isRecovered;
        std::chrono::milliseconds waited;
    };
    const wait_case cases[] = { { "recovered at once: until the results of the previous owner have arrived", true, 300ms }, { "no answer", false, 1000ms } };
    for (const wait_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.scheduler.setOwnedModels({}, at(-1s));
            fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
            fixture.scheduler.setOwnedModels({ testModel }, at(0ms));
            if (row.isRecovered)
                fixture.scheduler.setRecovered(testModel);
            CHECK(fixture.take<start_run>(row.waited - 1ms).empty());
            CHECK(fixture.take<start_run>(row.waited).size() == 1);
        }
    }
}

TEST_CASE("Texts of a previous owner are continued if their versions are allowed")
{
    struct adopt_case {
        const char* name;
        item_text text;
        std::uint64_t afterEvent;
    };
    const adopt_case cases[] = {
        { "allowed", { "one\ntwo", 2, { 2 }, false, "v1" }, 2 },
        { "weights too old", { "one\ntwo", 2, { 1, 2 }, false, "v1" }, 0 },
        { "no versions", { "one\ntwo", 2, {}, false, "v1" }, 0 },
    };
    for (const adopt_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.pool.update(makeReplica("r1", "north-a", 2));
            batch_submission batch = makeBatch("b", 1, 1);
            batch.minVersion = 2;
            fixture.ledger.apply(batch_accepted { batch }, at(0ms));
            CHECK(fixture.scheduler.adoptText(*fixture.ledger.find("b"), 0, row.text, at(0ms)) == (row.afterEvent != 0));
            CHECK(fixture.startOne(0ms).afterEvent == row.afterEvent);
        }
    }
}

TEST_CASE("Long texts are saved each time they have grown by 12 events")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = fixture.startOne(0ms);
    fixture.scheduler.onHead(run.run, 1);
    std::vector<std::uint64_t> saved;
    for (std::uint64_t event = 1; event <= 30; ++event) {
        fixture.feed(run.run, event, "x");
        for (const item_progressed& text : fixture.scheduler.takeProgress(at(0ms)))
            saved.push_back(text.output.lastEvent);
    }
    CHECK(saved == std::vector<std::uint64_t> { 12, 24 });
}

TEST_CASE("Resubmitted items continue from their known texts and results")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("first", 1, 2) }, at(0ms));
    const std::vector<start_run> runs = fixture.take<start_run>(0ms);
    REQUIRE(runs.size() == 2);
    for (const start_run& run : runs)
        fixture.scheduler.onHead(run.run, 1);
    const text_reference place { "first/first-0-0/writer", 0, 5, 1, 700 };
    fixture.ledger.apply(item_finished { "first", "first-0-0", true, { "", 9, { 1 } }, place }, at(1ms));
    fixture.feed(runs[1].run, 1, "one");
    fixture.ledger.apply(batch_ended { "first" }, at(2ms));
    CHECK(fixture.take<cancel_run>(2ms).size() == 2);
    batch_submission again = makeBatch("second", 1, 2);
    again.items[0].id = "first-0-0";
    again.items[1].id = "first-0-1";
    SECTION("the versions are allowed")
    {
        fixture.ledger.apply(batch_accepted { again }, at(3ms));
        fixture.scheduler.schedule(at(3ms));
        const std::vector<scheduler_effect> effects = fixture.scheduler.takeEffects();
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
        fixture.pool.update(makeReplica("r1", "north-a", 2));
        fixture.ledger.apply(batch_accepted { again }, at(3ms));
        const std::vector<start_run> started = fixture.take<start_run>(3ms);
        REQUIRE(started.size() == 2);
        CHECK(started[0].afterEvent == 0);
        CHECK(started[1].afterEvent == 0);
    }
    SECTION("the item has another body")
    {
        again.items[0].body = "another prompt";
        fixture.ledger.apply(batch_accepted { again }, at(3ms));
        CHECK(fixture.take<start_run>(3ms).size() == 2);
    }
}

namespace {

/// How old the ledger of an owner may be when it starts work.
struct ledger_age_case {
    const char* name;
    std::chrono::milliseconds age;
    bool mayStart;
};

const ledger_age_case ledgerAgeCases[] = {
    { "just confirmed", 0ms, true },
    { "briefly late", 400ms, true },
    { "late", 1400ms, true },
    { "behind", 1600ms, false },
    { "cut off for long", 9s, false },
};

}

// UNASKED: an owner that read nothing went on starting items of batches that had been ended elsewhere.
TEST_CASE("Items of an ended batch were started by an owner whose ledger was behind")
{
    for (const ledger_age_case& row : ledgerAgeCases) {
        DYNAMIC_SECTION(row.name)
        {
            scheduler_fixture fixture(4);
            fixture.ledger.setConfirmedAt(0, at(0ms));
            fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 4) }, at(0ms));
            CHECK(fixture.take<start_run>(row.age).empty() == !row.mayStart);
            // The ledger has caught up, and the batch has not ended.
            fixture.ledger.setConfirmedAt(0, at(row.age));
            CHECK(fixture.take<start_run>(row.age).empty() == row.mayStart);
        }
    }
}

namespace {

/// What has become of a replica once a run at r1, of software version v1, was interrupted.
struct replica_change {
    const char* id;
    const char* software;
    bool isDraining = false;
    /// Other runs take all slots of the replica.
    bool isFull = false;
    std::int64_t startedAt = 1;
};

struct continuation_case {
    const char* name;
    std::vector<replica_change> listed;
    /// Where the item goes on at once, if it does.
    const char* replica;
    std::uint64_t afterEvent;
};

const continuation_case continuationCases[] = {
    { "the same replica is left of its version", { { "r1", "v1" }, { "r2", "v2" } }, "r1", 3 },
    { "another one of its version", { { "r1", "v1" }, { "r2", "v1" }, { "r3", "v2" } }, "r2", 3 },
    { "another one of its version, the first one is gone", { { "r2", "v1" }, { "r3", "v2" } }, "r2", 3 },
    { "none is left of its version", { { "r2", "v2" } }, "r2", 0 },
    { "none is left of its version, which comes first by name", { { "r2", "u9" } }, "r2", 0 },
    { "its version drains", { { "r1", "v1", true }, { "r2", "v2" } }, "r2", 0 },
    { "three versions", { { "r2", "v3" }, { "r3", "v2" }, { "r4", "v1" } }, "r4", 3 },
    { "the replica came again with another version", { { "r1", "v2", false, false, 2 } }, "r1", 0 },
    { "one version, all drain", { { "r1", "v1", true }, { "r2", "v1", true } }, "", 0 },
    { "its version is full", { { "r1", "v1", false, true }, { "r2", "v2" } }, "", 0 },
};

/// Fixture with one item, whose run at r1 of version v1 has been interrupted after three events.
struct interrupted_fixture : scheduler_fixture {
    interrupted_fixture()
        : scheduler_fixture(1)
    {
        pool.remove("r2");
        ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
        const start_run run = startOne(0ms);
        scheduler.onHead(run.run, 1);
        for (std::uint64_t event = 1; event <= 3; ++event)
            feed(run.run, event, "text");
        scheduler.onEnd(run.run, run_end::Interrupted, at(0ms));
    }

    void list(const std::vector<replica_change>& listed)
    {
        pool.remove("r1");
        for (const replica_change& change : listed) {
            replica_entry entry = makeReplica(change.id, "north-a", 1);
            entry.software = change.software;
            entry.isDraining = change.isDraining;
            entry.startedAt = change.startedAt;
            pool.update(entry);
            if (change.isFull)
                pool.started(change.id);
        }
    }
};

}

// ORDER: a text went on with the events of a replica of another software version.
TEST_CASE("A text held events from replicas of two software versions")
{
    for (const continuation_case& row : continuationCases) {
        DYNAMIC_SECTION(row.name)
        {
            interrupted_fixture fixture;
            fixture.list(row.listed);
            const std::vector<start_run> started = fixture.take<start_run>(1ms);
            REQUIRE(started.size() == (*row.replica ? 1 : 0));
            if (started.empty())
                continue;
            CHECK(started[0].replica == row.replica);
            CHECK(started[0].afterEvent == row.afterEvent);
        }
    }
}

TEST_CASE("A text waits half a second for a replica of its version while others have room, and then the item begins anew")
{
    interrupted_fixture fixture;
    fixture.list({ { "r1", "v1", false, true }, { "r2", "v2" } });
    CHECK(fixture.take<start_run>(10ms).empty());
    CHECK(fixture.take<start_run>(400ms).empty());
    const start_run anew = fixture.startOne(600ms);
    CHECK(anew.replica == "r2");
    CHECK(anew.afterEvent == 0);

    interrupted_fixture patient;
    patient.list({ { "r1", "v1", false, true }, { "r2", "v2" } });
    CHECK(patient.take<start_run>(10ms).empty());
    patient.pool.finished("r1", replica_outcome::Answered, 1ms, at(200ms));
    CHECK(patient.startOne(300ms).afterEvent == 3);
}

TEST_CASE("An item whose text waits for its version keeps no other item waiting")
{
    interrupted_fixture fixture;
    fixture.list({ { "r1", "v1", false, true }, { "r2", "v2" } });
    fixture.ledger.apply(batch_accepted { makeBatch("c", 1, 1) }, at(1ms));
    const start_run other = fixture.startOne(10ms);
    CHECK(other.batch == "c");
    CHECK(other.replica == "r2");
}

TEST_CASE("A text that was saved goes on only at its software version, and never when that is unknown")
{
    struct saved_case {
        const char* software;
        const char* listed;
        bool isComplete;
        bool isAdopted;
        std::uint64_t afterEvent;
    };
    const saved_case rows[] = { { "v1", "v1", false, true, 5 }, { "v1", "v2", false, true, 0 }, { "", "v1", false, false, 0 }, { "", "v1", true, true, 0 } };
    for (const saved_case& row : rows) {
        INFO("saved with '" << row.software << "', listed '" << row.listed << "', complete: " << row.isComplete);
        scheduler_fixture fixture(1);
        fixture.pool.remove("r2");
        replica_entry entry = makeReplica("r1", "north-a", 1);
        entry.software = row.listed;
        fixture.pool.update(entry);
        const batch_submission batch = makeBatch("b", 1, 1);
        fixture.ledger.apply(batch_accepted { batch }, at(0ms));
        const item_text text { "text", 5, { 1 }, row.isComplete, row.software };
        CHECK(fixture.scheduler.adoptText(*fixture.ledger.find("b"), 0, text, at(0ms)) == row.isAdopted);
        const std::vector<start_run> started = fixture.take<start_run>(1ms);
        REQUIRE(started.size() == (row.isComplete ? 0 : 1));
        if (!started.empty())
            CHECK(started[0].afterEvent == row.afterEvent);
    }
}

TEST_CASE("The text of an earlier batch goes on only at its software version")
{
    for (const char* software : { "v1", "v2" }) {
        interrupted_fixture fixture;
        fixture.ledger.apply(batch_ended { "b" }, at(1ms));
        fixture.list({ { "r2", software } });
        batch_submission next = makeBatch("next", 1, 1);
        next.items = fixture.ledger.find("b")->submission.items;
        fixture.ledger.apply(batch_accepted { next }, at(2ms));
        CHECK(fixture.startOne(3ms).afterEvent == (std::string_view(software) == "v1" ? 3 : 0));
    }
}

TEST_CASE("A run whose replica had started anew under its id begins again, since nobody knows which version wrote its text")
{
    scheduler_fixture fixture(1);
    fixture.pool.remove("r2");
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run run = fixture.startOne(0ms);
    fixture.scheduler.onHead(run.run, 1);
    fixture.feed(run.run, 1, "one");
    replica_entry restarted = makeReplica("r1", "north-a", 1);
    restarted.startedAt = 2;
    restarted.software = "v2";
    fixture.pool.update(restarted);
    CHECK(fixture.startOne(1ms).afterEvent == 0);
    CHECK_FALSE(fixture.scheduler.isRunning(run.run));
}

// CONFIG: an owner went on sending items by routes that had been changed, as long as it could not read the configuration.
TEST_CASE("Items were started by an older configuration than another daemon had read")
{
    scheduler_fixture fixture(4);
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 4) }, at(0ms));
    const std::uint64_t version = fixture.routes.version();
    fixture.routes.noteRead({ version + 1, at(0ms) });
    CHECK(fixture.take<start_run>(1s).empty());
    route_configuration next = fixture.routes.configuration();
    next.version = version + 1;
    next.routes.clear();
    fixture.routes.setConfiguration(next);
    CHECK(fixture.take<start_run>(1100ms).empty());
    CHECK(fixture.scheduler.counters().itemsAbandoned == 4);
}

// UNASKED: a run that is interrupted or slow was started again elsewhere, however old the ledger was.
TEST_CASE("An owner whose ledger was behind started its runs again at other replicas")
{
    scheduler_fixture fixture(4);
    fixture.ledger.setConfirmedAt(0, at(0ms));
    fixture.ledger.apply(batch_accepted { makeBatch("b", 1, 1) }, at(0ms));
    const start_run first = fixture.startOne(0ms);
    fixture.scheduler.onHead(first.run, 1);
    fixture.feed(first.run, 1, "one", 1500ms);
    fixture.scheduler.onEnd(first.run, run_end::Interrupted, at(1600ms));
    CHECK(fixture.take<start_run>(1700ms).empty());
    fixture.ledger.setConfirmedAt(0, at(1800ms));
    CHECK(fixture.startOne(1900ms).afterEvent == 1);
}
