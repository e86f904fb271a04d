#include "memorylog.h"

#include <gateway/bootclock.h>
#include <gateway/partitionwriter.h>
#include <gateway/progressstore.h>
#include <support/log.h>
#include <wire/journalcodec.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr const char* topic = "keyed.ragwortreach.progress";
constexpr const char* model = "lace-7b";
/// Events after which a text is saved while its item runs.
constexpr std::uint64_t savedEvents = 12;
/// Longer than the interval between two saves.
constexpr duration saveTime = 1s;
/// Longer than items wait for the texts of an earlier owner.
constexpr duration recoveryTime = 1s;

batch_submission makeBatch(const std::string& id, const std::string& batchModel, std::size_t items)
{
    batch_submission batch;
    batch.id = id;
    batch.host = "lots.example";
    batch.model = batchModel;
    batch.minVersion = 1;
    batch.configuration = 1;
    for (std::size_t number = 0; number < items; ++number) {
        const std::string item = id + "-" + std::to_string(number);
        batch.items.push_back({ item, "/lots/1", {}, "prompt", 100, 0, item });
    }
    return batch;
}

route_configuration makeRoutes(const std::vector<std::string>& models)
{
    route_configuration configuration;
    configuration.version = 1;
    route lots;
    lots.host = "lots.example";
    lots.pathPrefix = "/lots/";
    lots.kind = route_kind::Rollout;
    lots.targets = { { "engines", 1 } };
    lots.maxAttempts = 3;
    lots.retention = 40s;
    configuration.routes = { lots };
    service_definition engines;
    engines.name = "engines";
    engines.engine = engine_bounds { 100, 100000, models };
    configuration.services = { engines };
    return configuration;
}

/// Process instance that owns the models of \a batches, which it has in its ledger.
struct owner {
    owner(boost::asio::io_context& ioContext, memory_log& log, const std::string& name, const std::vector<batch_submission>& batches)
        : context(ioContext)
        , logger({ "", log_level::Error }, name)
        , pool("north-a")
        , scheduler(ledger, pool, routes)
        , store(ioContext, log, 1, name, ledger, scheduler, logger)
    {
        std::set<std::string, std::less<>> models;
        replica_entry entry;
        entry.id = "r1";
        entry.service = "engines";
        entry.address = "127.0.0.1:1";
        entry.dataCentre = "north-a";
        entry.software = "v1";
        for (const batch_submission& batch : batches) {
            models.insert(batch.model);
            entry.weights[batch.model] = 1;
            ledger.apply(batch_accepted { batch }, start);
        }
        routes.setConfiguration(makeRoutes({ models.begin(), models.end() }));
        routes.setConfirmedAt(start);
        ledger.setConfirmedAt(0, start + recoveryTime);
        pool.update(entry);
        scheduler.setOwnedModels(models, start);
    }

    /// Runs all items until each has \a events events with \a data.
    void generate(std::uint64_t events, const std::string& data = "x")
    {
        scheduler.schedule(start + recoveryTime);
        for (const scheduler_effect& effect : scheduler.takeEffects()) {
            const start_run* const started = std::get_if<start_run>(&effect);
            if (!started)
                continue;
            scheduler.onHead(started->run, 1);
            for (std::uint64_t event = 1; event <= events; ++event)
                scheduler.onEvent(started->run, { event, data, std::nullopt, "" }, start + recoveryTime);
        }
    }

    /// Hands over all texts, as a process that stops.
    void handOver()
    {
        scheduler.handOverAll();
        std::vector<item_progressed> texts;
        for (const scheduler_effect& effect : scheduler.takeEffects()) {
            if (const hand_over_text* const text = std::get_if<hand_over_text>(&effect))
                texts.push_back(text->text);
        }
        store.handOver(texts);
    }

    /// Event after which each item resumes, by its index, once the owner runs the items of the batch \a id.
    std::map<std::size_t, std::uint64_t> resumedAfter(const std::string& id)
    {
        std::map<std::size_t, std::uint64_t> events;
        scheduler.schedule(start + recoveryTime);
        for (const scheduler_effect& effect : scheduler.takeEffects()) {
            const start_run* const started = std::get_if<start_run>(&effect);
            if (started && started->batch == id)
                events[started->item] = started->afterEvent;
        }
        return events;
    }

    void runAll() const
    {
        context.restart();
        context.poll();
    }

    boost::asio::io_context& context;
    instant start = bootNow();
    ragwortreach::log logger;
    batch_ledger ledger;
    replica_pool pool;
    route_table routes;
    item_scheduler scheduler;
    progress_store store;
};

/// Keys of the topic that have a value.
std::set<std::string> savedKeys(memory_log& log)
{
    std::set<std::string> keys;
    for (const keyed_record& record : log.records({ topic, 0 })) {
        if (record.value)
            keys.insert(record.key);
        else
            keys.erase(record.key);
    }
    return keys;
}

/// Saves the texts of all items of \a batch, as an owner does while they run.
void saveTexts(boost::asio::io_context& context, memory_log& log, const batch_submission& batch)
{
    owner saver(context, log, "saver of " + batch.id, { batch });
    saver.generate(savedEvents);
    saver.store.tick(saver.start + saveTime);
    saver.runAll();
}

std::map<std::size_t, std::uint64_t> allAfter(std::size_t items, std::uint64_t event)
{
    std::map<std::size_t, std::uint64_t> events;
    for (std::size_t item = 0; item < items; ++item)
        events[item] = event;
    return events;
}

}

// A takeover read the saved texts of all models of its partition.
TEST_CASE("A takeover reads the saved texts of its own model only")
{
    boost::asio::io_context context;
    memory_log log(context);
    const std::vector<batch_submission> batches { makeBatch("1", "a-model", 9), makeBatch("2", model, 4), makeBatch("3", "z-model", 9) };
    for (const batch_submission& batch : batches)
        saveTexts(context, log, batch);
    REQUIRE(savedKeys(log).size() == 22);
    owner next(context, log, "next", batches);
    next.store.recover(model, next.start);
    next.runAll();
    CHECK(next.store.counters().recovered == 4);
    CHECK(log.pages() == 2);
    CHECK(next.resumedAfter("2") == allAfter(4, savedEvents));
}

// A takeover went on without the texts of the pages that came after a failed one.
TEST_CASE("A recovery of which a page fails is resumed after the pages read")
{
    for (const std::size_t pages : { 0U, 1U, 2U }) {
        DYNAMIC_SECTION(pages << " pages read before the failure")
        {
            boost::asio::io_context context;
            memory_log log(context);
            const std::vector<batch_submission> batches { makeBatch("b", model, 7) };
            saveTexts(context, log, batches[0]);
            owner next(context, log, "next", batches);
            log.failPageAfter(pages);
            next.store.recover(model, next.start);
            next.runAll();
            next.store.tick(next.start + recoveryTime / 2);
            next.runAll();
            CHECK(next.store.counters().recovered == 7);
            CHECK(next.store.counters().recoveriesFailed == 0);
            CHECK(log.pages() == 3);
            CHECK(next.resumedAfter("b") == allAfter(7, savedEvents));
        }
    }
}

TEST_CASE("A recovery whose pages keep failing ends when the items no longer wait for it")
{
    boost::asio::io_context context;
    memory_log log(context);
    const std::vector<batch_submission> batches { makeBatch("b", model, 7) };
    saveTexts(context, log, batches[0]);
    owner next(context, log, "next", batches);
    log.setDown(true);
    next.store.recover(model, next.start);
    next.runAll();
    next.store.tick(next.start + recoveryTime / 2);
    next.runAll();
    CHECK(next.store.counters().recoveriesFailed == 0);
    next.store.tick(next.start + recoveryTime);
    CHECK(next.store.counters().recoveriesFailed == 1);
    log.setDown(false);
    next.store.tick(next.start + recoveryTime * 2);
    next.runAll();
    CHECK(next.store.counters().recovered == 0);
    CHECK(log.pages() == 0);
    CHECK(next.resumedAfter("b") == allAfter(7, 0));
}

TEST_CASE("Saved texts are removed by their next owner once their items need them no longer")
{
    struct removal_case {
        const char* name;
        std::vector<journal_record> records;
        std::set<std::size_t> left;
    };
    const removal_case cases[] = {
        { "open", {}, { 0, 1 } },
        { "an item has its result", { item_finished { "b", "b-0", true, { "x", 1, { 1 } } } }, { 1 } },
        { "the batch has ended", { batch_ended { "b" } }, {} },
    };
    for (const removal_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            const std::vector<batch_submission> batches { makeBatch("b", model, 2) };
            saveTexts(context, log, batches[0]);
            const std::set<std::string> saved = savedKeys(log);
            REQUIRE(saved.size() == 2);
            owner next(context, log, "next", batches);
            next.store.recover(model, next.start);
            next.runAll();
            for (const journal_record& record : row.records)
                next.ledger.apply(record, next.start);
            next.store.tick(next.start + saveTime);
            next.runAll();
            std::set<std::string> left;
            for (const std::size_t item : row.left)
                left.insert(*std::next(saved.begin(), static_cast<std::ptrdiff_t>(item)));
            CHECK(savedKeys(log) == left);
        }
    }
}

TEST_CASE("Texts that a process hands over are appended while it still waits for them, and the next process continues them")
{
    struct fault_case {
        const char* name;
        std::vector<append_fault> faults;
    };
    const fault_case cases[] = {
        { "no fault", {} },
        { "refused", { append_fault::Refuse, append_fault::Refuse } },
        { "answer lost", { append_fault::LoseAnswer } },
        { "call lost", { append_fault::LoseCall } },
    };
    for (const fault_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            const std::vector<batch_submission> batches { makeBatch("1", model, 5), makeBatch("2", "z-model", 3) };
            owner stopping(context, log, "stopping", batches);
            // Fewer events than a text needs to be saved while its item runs.
            stopping.generate(3, std::string(4096, 'x'));
            log.setFaults(row.faults);
            stopping.handOver();
            CHECK(stopping.store.pendingWrites() == 8);
            while (stopping.store.pendingWrites() != 0)
                REQUIRE(context.run_one_for(10s) == 1);
            CHECK(savedKeys(log).size() == 8);
            CHECK(stopping.store.counters().handedOver == 8);
            owner next(context, log, "next", batches);
            next.store.recover(model, next.start);
            next.runAll();
            CHECK(next.store.counters().recovered == 5);
            CHECK(next.resumedAfter("1") == allAfter(5, 3));
            // The process that handed them over has ended; their next owner removes them.
            next.ledger.apply(batch_ended { "1" }, next.start);
            next.store.tick(next.start + saveTime);
            next.runAll();
            CHECK(savedKeys(log).size() == 3);
        }
    }
}

TEST_CASE("A text that no record can hold is not handed over, and the last one that fitted stays")
{
    boost::asio::io_context context;
    memory_log log(context);
    const batch_submission batch = makeBatch("b", model, 1);
    saveTexts(context, log, batch);
    owner stopping(context, log, "stopping", { batch });
    stopping.generate(13, std::string(maxRecordBytes / 13, 'x'));
    stopping.handOver();
    CHECK(stopping.store.counters().handedOver == 0);
    CHECK(stopping.store.counters().tooLarge == 1);
    owner next(context, log, "next", { batch });
    next.store.recover(model, next.start);
    next.runAll();
    CHECK(next.resumedAfter("b") == allAfter(1, savedEvents));
}

TEST_CASE("A text is not handed over once nobody needs it")
{
    boost::asio::io_context context;
    memory_log log(context);
    owner stopping(context, log, "stopping", { makeBatch("b", model, 2) });
    stopping.generate(3);
    stopping.ledger.apply(item_finished { "b", "b-1", true, { "x", 1, { 1 } } }, stopping.start);
    stopping.handOver();
    stopping.runAll();
    CHECK(stopping.store.counters().handedOver == 1);
    CHECK(savedKeys(log).size() == 1);
}

// Nobody removed the texts of batches that had ended before the next owner took over.
TEST_CASE("A new owner removes the texts of batches that it does not know any more")
{
    boost::asio::io_context context;
    memory_log log(context);
    saveTexts(context, log, makeBatch("ended", model, 2));
    saveTexts(context, log, makeBatch("other", "z-model", 2));
    REQUIRE(savedKeys(log).size() == 4);
    owner next(context, log, "next", { makeBatch("b", model, 2) });
    next.store.recover(model, next.start);
    next.runAll();
    next.store.tick(next.start + saveTime);
    next.runAll();
    CHECK(savedKeys(log).size() == 2);
}

TEST_CASE("Records of other forms under the keys of a model are neither adopted nor removed")
{
    const std::string text = encodeJournalRecord(item_progressed { model, std::string(model) + "-0", { "x", 1, { 1 } } });
    struct record_case {
        const char* name;
        std::string key;
        std::string value;
        std::uint64_t unreadable;
    };
    const record_case cases[] = {
        { "a former release's, of a batch called like the model", std::string(model) + "/" + model + "-0", text, 0 },
        { "a former release's, of another batch", "b/b-0", text, 0 },
        { "not a record", std::string(model) + "/b/b-0", "\xff\xff\xff", 1 },
        { "another record", std::string(model) + "/b/b-0", encodeJournalRecord(batch_ended { "b" }), 1 },
    };
    for (const record_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            partition_writer former(context, log, { topic, 0 }, "former");
            former.write({ { row.key, row.value, 0 } }, write_mode::RetryOnRefusal, {});
            owner next(context, log, "next", { makeBatch(model, model, 1) });
            next.store.recover(model, next.start);
            next.runAll();
            next.store.tick(next.start + saveTime);
            next.ledger.apply(batch_ended { model }, next.start);
            next.store.tick(next.start + saveTime * 2);
            next.runAll();
            CHECK(next.store.counters().recovered == 0);
            CHECK(next.store.counters().unreadable == row.unreadable);
            CHECK(savedKeys(log) == std::set<std::string> { row.key });
        }
    }
}
