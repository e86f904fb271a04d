#include "memorylog.h"

#include <gateway/batchloader.h>
#include <gateway/bootclock.h>
#include <gateway/journal.h>
#include <support/log.h>

#include <catch2/catch.hpp>

#include <span>

using namespace ragwortreach;

namespace {

batch_submission largeBatch(std::size_t bodyBytes)
{
    batch_submission batch;
    batch.id = "b";
    batch.items.push_back({ "i", "/1", { { "Token-Usage", "1,2" } }, std::string(bodyBytes, 'p'), 3, 0, "g" });
    return batch;
}

void runUntil(boost::asio::io_context& context, const std::function<bool()>& isDone)
{
    while (!isDone())
        REQUIRE(context.run_one_for(std::chrono::seconds(10)) == 1);
}

}

TEST_CASE("A batch of any size can be read from the journal, also by a daemon that starts later")
{
    for (const std::size_t bytes : { 10U, 200U * 1024U, 900U * 1024U, 4500U * 1024U }) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            boost::asio::io_context context;
            memory_log log(context);
            int changes = 0;
            journal first(context, log, {}, "first", [&changes](const ledger_batch&) { ++changes; });
            first.start();
            batch_submission submission = largeBatch(bytes);
            submission.items.push_back({ "finished", "/1", {}, "p", 3, 0, "g" });
            first.write(batch_accepted { submission }, write_mode::FailOnRefusal, {});
            runUntil(context, [&changes] { return changes == 1; });
            first.write(item_finished { "b", "finished", true, { "text", 1, { 4 } } }, write_mode::RetryOnRefusal, {});
            runUntil(context, [&changes] { return changes == 2; });
            log.compact();
            journal second(context, log, {}, "second", [](const ledger_batch&) {});
            second.start();
            runUntil(context, [&second] { return second.isReady(); });
            CHECK(second.isListed("b"));
            CHECK_FALSE(second.ledger().find("b"));
            second.fetch("b");
            runUntil(context, [&second] { return second.isFollowed("b"); });
            const ledger_batch* const batch = second.ledger().find("b");
            REQUIRE(batch);
            ragwortreach::log logger({}, "vm1");
            contents_cache cache;
            batch_loader loader(second, cache, logger);
            // Contents stored apart from the journal are loaded on demand only.
            CHECK(batch->isLoaded == (bytes < 600));
            loader.tick([](const ledger_batch&) { return true; }, bootNow());
            runUntil(context, [batch] { return batch->isLoaded; });
            const batch_item& item = batch->submission.items[0];
            CHECK(item.path == "/1");
            const item_contents* const read = cache.find({ "b", 0 });
            CHECK((read != nullptr) == (bytes >= 600));
            CHECK((read ? read->body.size() : item.body.size()) == bytes);
            CHECK((read ? read->headers : item.headers).size() == 1);
            CHECK_FALSE(cache.find({ "b", 1 }));
            REQUIRE(batch->results.size() == 1);
            CHECK(batch->results[0].output.versions == std::vector<std::uint64_t> { 4 });
            loader.tick([](const ledger_batch&) { return false; }, bootNow());
            CHECK(item.path.empty() == (bytes >= 600));
            CHECK_FALSE(cache.find({ "b", 0 }));
            CHECK(cache.held() == 0);
        }
    }
}

TEST_CASE("The acceptance of the largest batch fits one append")
{
    boost::asio::io_context context;
    memory_log log(context);
    journal journal(context, log, {}, "writer", [](const ledger_batch&) {});
    batch_submission batch;
    batch.id = std::string(16, 'b');
    batch.host = "lots.example";
    while (journal::sharedBytes(batch) <= journal::maxSharedBytes) {
        const std::string number = std::to_string(batch.items.size());
        batch.items.push_back({ number, "/1", {}, "p", UINT64_MAX, UINT64_MAX, number });
    }
    batch.items.pop_back();
    bool isWritten = false;
    journal.write(batch_accepted { batch }, write_mode::FailOnRefusal, [&isWritten](const append_report& report) { isWritten = report.status == append_status::Done; });
    runUntil(context, [&isWritten] { return isWritten; });
    std::size_t bytes = 0;
    for (const keyed_record& record : log.records({ "keyed.ragwortreach.journal", 0 }))
        bytes += record.bytes();
    CHECK(bytes > maxAppendBytes / 2);
    CHECK(bytes <= maxAppendBytes);
}

TEST_CASE("Records that cannot be decoded are counted and skipped")
{
    boost::asio::io_context context;
    memory_log log(context);
    log.put("~/unknown/writer/1/0", ".\xff\xff\xff");
    log.put("~/unknown/writer/2/0", "");
    journal reader(context, log, {}, "reader", [](const ledger_batch&) {});
    reader.start();
    runUntil(context, [&reader] { return reader.isReady(); });
    CHECK(reader.counters().recordsUnreadable == 1);
    CHECK(reader.counters().recordsApplied == 0);
}

TEST_CASE("Removing a batch removes all its records and texts from the log, acceptances first, also when it was accepted twice")
{
    boost::asio::io_context context;
    memory_log log(context);
    int changes = 0;
    journal writer(context, log, {}, "writer", [&changes](const ledger_batch&) { ++changes; });
    journal other(context, log, {}, "other", [](const ledger_batch&) {});
    writer.start();
    writer.write(batch_accepted { largeBatch(500000) }, write_mode::FailOnRefusal, {});
    other.write(batch_accepted { largeBatch(500000) }, write_mode::FailOnRefusal, {});
    runUntil(context, [&writer, &other] { return writer.counters().recordsApplied == 4 && other.pendingWrites() == 0; });
    writer.write(item_finished { "b", "i", true, { "text", 1, { 4 } } }, write_mode::RetryOnRefusal, {});
    runUntil(context, [&changes, &other] { return changes == 2 && other.pendingWrites() == 0; });
    runUntil(context, [&writer, &log] { return writer.counters().recordsApplied == 5 && log.records().size() >= 3; });
    const topic_partition texts { "keyed.ragwortreach.texts", 0 };
    const std::size_t writtenTexts = log.records(texts).size();
    const std::size_t written = log.records().size();
    writer.forgetBefore(instant::max(), [](std::string_view) { return true; });
    CHECK_FALSE(writer.ledger().find("b"));
    runUntil(context, [&writer] { return writer.pendingWrites() == 0; });
    std::map<std::string, bool> isLeft;
    for (std::size_t offset = 0; offset < written; ++offset)
        isLeft[log.records()[offset].key] = true;
    for (std::size_t offset = written; offset < log.records().size(); ++offset) {
        CHECK_FALSE(log.records()[offset].value);
        isLeft.erase(log.records()[offset].key);
    }
    CHECK(isLeft.empty());
    for (std::size_t offset = 0; offset < writtenTexts; ++offset)
        isLeft[log.records(texts)[offset].key] = true;
    for (std::size_t offset = writtenTexts; offset < log.records(texts).size(); ++offset)
        isLeft.erase(log.records(texts)[offset].key);
    CHECK(writtenTexts >= 2);
    CHECK(isLeft.empty());
    CHECK(log.records().back().key.starts_with("b/writer/3/"));
}

// LOST: the batch that took the result over is listed after the earlier one has been removed.
TEST_CASE("The text of a result that a later batch took over was removed with the earlier batch")
{
    boost::asio::io_context context;
    memory_log log(context);
    int changes = 0;
    journal owner(context, log, {}, "owner", [&changes](const ledger_batch&) { ++changes; });
    owner.start();
    for (const char* id : { "a", "b" }) {
        batch_submission batch = largeBatch(10);
        batch.id = id;
        batch.items.push_back(batch.items.front());
        batch.items.back().id = "open";
        owner.write(batch_accepted { batch }, write_mode::FailOnRefusal, {});
    }
    runUntil(context, [&changes] { return changes == 2; });
    const item_finished first { "a", "i", true, { std::string(700, 't'), 1, { 4 } } };
    owner.write(first, write_mode::RetryOnRefusal, {});
    runUntil(context, [&changes] { return changes == 3; });
    const std::optional<text_reference> reference = owner.ledger().find("a")->results[0].reference;
    REQUIRE(reference);
    item_finished takenOver { "b", "i", true, { {}, 1, { 4 } } };
    takenOver.reference = reference;
    owner.write(takenOver, write_mode::RetryOnRefusal, {});
    owner.write(batch_ended { "a" }, write_mode::RetryOnRefusal, {});
    runUntil(context, [&changes] { return changes == 5; });
    owner.forgetBefore(instant::max(), [](std::string_view) { return true; });
    runUntil(context, [&owner] { return owner.pendingWrites() == 0; });
    REQUIRE_FALSE(owner.ledger().find("a"));
    REQUIRE(owner.ledger().find("b"));
    log.compact();
    text_store reader(context, log, 1, "reader");
    std::optional<text_outcome> outcome;
    reader.read(std::span(&*reference, 1), {}, [&outcome](const text_outcome& read) { outcome = read; });
    runUntil(context, [&outcome] { return outcome.has_value(); });
    CHECK(outcome->isComplete);

    owner.write(batch_ended { "b" }, write_mode::RetryOnRefusal, {});
    runUntil(context, [&owner] {
        owner.forgetBefore(instant::max(), [](std::string_view) { return true; });
        return !owner.isListed("b") && owner.pendingWrites() == 0;
    });
    CHECK_FALSE(log.records({ "keyed.ragwortreach.texts", 0 }).back().value);
}

TEST_CASE("Batches accepted by the same daemon do not mix up their contents")
{
    boost::asio::io_context context;
    memory_log log(context);
    ragwortreach::log logger({}, "vm1");
    int changes = 0;
    journal writer(context, log, {}, "writer", [&changes](const ledger_batch&) { ++changes; });
    writer.start();
    for (const char* const id : { "a-batch-with-a-long-id", "b-batch-with-a-long-id" }) {
        batch_submission batch = largeBatch(5000);
        batch.id = id;
        batch.items[0].path = std::string("/") + id;
        writer.write(batch_accepted { batch }, write_mode::FailOnRefusal, {});
    }
    runUntil(context, [&changes] { return changes == 2; });
    contents_cache cache;
    batch_loader loader(writer, cache, logger);
    loader.tick([](const ledger_batch&) { return true; }, bootNow());
    runUntil(context, [&loader] { return loader.counters().loaded == 2; });
    for (const char* const id : { "a-batch-with-a-long-id", "b-batch-with-a-long-id" })
        CHECK(writer.ledger().find(id)->submission.items[0].path == std::string("/") + id);
}

namespace {

constexpr int smallBatchItems = 12;

std::string smallBatchItem(int number)
{
    return "i-" + std::to_string(number);
}

/// Journals of several daemons over one log.
struct journals_fixture {
    journals_fixture()
        : log(context)
        , first(context, log, {}, "first", [](const ledger_batch&) {})
        , other(context, log, {}, "other", [](const ledger_batch&) {})
        , late(context, log, {}, "late", [](const ledger_batch&) {})
    {
        first.start();
        accept(first);
        runUntil(context, [this] { return first.isFollowed("b"); });
    }

    void accept(journal& writer)
    {
        batch_submission batch;
        batch.id = "b";
        batch.model = "m";
        for (int number = 0; number < smallBatchItems; ++number)
            batch.items.push_back({ smallBatchItem(number), "/1", {}, "p", 3, 0, "g" });
        writer.write(batch_accepted { batch }, write_mode::RetryOnRefusal, {});
        runUntil(context, [&writer] { return writer.pendingWrites() == 0; });
    }

    void finish(journal& writer, int number)
    {
        writer.write(item_finished { "b", smallBatchItem(number), true, { "text", 1, { 4 } } }, write_mode::RetryOnRefusal, {});
    }

    void startLate()
    {
        late.start();
        runUntil(context, [this] { return late.isReady(); });
    }

    void fetchUntilFollowed()
    {
        runUntil(context, [this] {
            late.fetch("b");
            return late.isFollowed("b");
        });
    }

    std::vector<std::size_t> itemsInOrder(const journal& of) const
    {
        std::vector<std::size_t> items;
        const ledger_batch* const batch = of.ledger().find("b");
        if (!batch)
            return items;
        for (const ledger_result& result : batch->results)
            items.push_back(result.item);
        return items;
    }

    void runUntilComplete(const journal& reader)
    {
        runUntil(context, [this, &reader] { return itemsInOrder(reader).size() == smallBatchItems; });
    }

    boost::asio::io_context context;
    memory_log log;
    journal first;
    journal other;
    journal late;
};

}

TEST_CASE("Results that are appended while a daemon fetches their batch get the same positions there as everywhere")
{
    for (const int steps : { 0, 1, 2, 3, 4, 5, 6, 8, 12 }) {
        DYNAMIC_SECTION("results after " << steps << " steps")
        {
            journals_fixture fixture;
            for (int number = 0; number < 4; ++number)
                fixture.finish(fixture.first, number);
            runUntil(fixture.context, [&fixture] { return fixture.first.pendingWrites() == 0; });
            fixture.startLate();
            fixture.late.fetch("b");
            for (int step = 0; step < steps; ++step)
                fixture.context.run_one();
            // Keys of the two writers come before and after those that the fetch has read.
            for (int number = smallBatchItems - 1; number >= 4; --number) {
                fixture.finish(number % 2 == 0 ? fixture.first : fixture.other, number);
                fixture.context.run_one();
            }
            fixture.fetchUntilFollowed();
            fixture.runUntilComplete(fixture.first);
            fixture.runUntilComplete(fixture.late);
            CHECK(fixture.itemsInOrder(fixture.late) == fixture.itemsInOrder(fixture.first));
        }
    }
}

TEST_CASE("A batch that is accepted again after a daemon has started keeps the results of before")
{
    journals_fixture fixture;
    fixture.finish(fixture.first, 7);
    runUntil(fixture.context, [&fixture] { return fixture.first.pendingWrites() == 0; });
    fixture.startLate();
    fixture.accept(fixture.other);
    fixture.finish(fixture.first, 3);
    runUntil(fixture.context, [&fixture] { return fixture.itemsInOrder(fixture.first).size() == 2; });
    CHECK_FALSE(fixture.late.isFollowed("b"));
    fixture.fetchUntilFollowed();
    CHECK(fixture.itemsInOrder(fixture.late) == std::vector<std::size_t> { 7, 3 });
}

TEST_CASE("A daemon that missed records of a batch, since the log dropped its history, reads them again and loses no result")
{
    journals_fixture fixture;
    fixture.startLate();
    fixture.finish(fixture.first, 5);
    fixture.fetchUntilFollowed();
    runUntil(fixture.context, [&fixture] { return fixture.itemsInOrder(fixture.late).size() == 1; });
    fixture.log.setReadDelay(std::chrono::milliseconds(100));
    runUntil(fixture.context, [&fixture, reads = fixture.log.reads()] { return fixture.log.reads() >= reads + 4; });
    for (const int number : { 9, 2 })
        fixture.finish(fixture.other, number);
    runUntil(fixture.context, [&fixture] { return fixture.other.pendingWrites() == 0; });
    fixture.log.compact();
    fixture.log.setReadDelay({});
    runUntil(fixture.context, [&fixture] { return !fixture.late.isFollowed("b"); });
    CHECK(fixture.itemsInOrder(fixture.late) == std::vector<std::size_t> { 5 });
    fixture.fetchUntilFollowed();
    CHECK(fixture.itemsInOrder(fixture.late) == std::vector<std::size_t> { 5, 9, 2 });
}

TEST_CASE("A fetch of a batch resumes after the pages that it has when reading one fails")
{
    journals_fixture fixture;
    for (int number = 0; number < smallBatchItems; ++number)
        fixture.finish(fixture.first, number);
    fixture.runUntilComplete(fixture.first);
    fixture.startLate();
    const std::size_t before = fixture.log.pages();
    fixture.log.failPageAfter(2);
    fixture.fetchUntilFollowed();
    CHECK(fixture.itemsInOrder(fixture.late).size() == smallBatchItems);
    // Acceptance and results on pages of three records.
    CHECK(fixture.log.pages() - before == (smallBatchItems + 1 + 2) / 3);
}

TEST_CASE("What a start reads of the journal does not depend on the number of results")
{
    std::vector<std::uint64_t> bytes;
    for (const int results : { 0, smallBatchItems }) {
        journals_fixture fixture;
        for (int number = 0; number < results; ++number)
            fixture.finish(fixture.first, number);
        runUntil(fixture.context, [&fixture] { return fixture.first.pendingWrites() == 0; });
        fixture.startLate();
        bytes.push_back(fixture.late.snapshots().bytes);
    }
    CHECK(bytes[0] > 0);
    CHECK(bytes[0] == bytes[1]);
}

TEST_CASE("An owner that started later removes old batches with all their records, also when reading them fails once")
{
    journals_fixture fixture;
    for (int number = 0; number < 2; ++number)
        fixture.finish(fixture.first, number);
    fixture.first.write(batch_ended { "b" }, write_mode::RetryOnRefusal, {});
    runUntil(fixture.context, [&fixture] { return fixture.first.pendingWrites() == 0; });
    fixture.startLate();
    const std::size_t written = fixture.log.records().size();
    fixture.log.failPageAfter(0);
    runUntil(fixture.context, [&fixture] {
        fixture.late.forgetBefore(instant::max(), [](std::string_view model) { return model == "m"; });
        return !fixture.late.isListed("b") && fixture.late.pendingWrites() == 0;
    });
    std::set<std::string> left;
    for (const keyed_record& record : fixture.log.records()) {
        if (record.value)
            left.insert(record.key);
        else
            left.erase(record.key);
    }
    CHECK(fixture.log.records().size() > written);
    CHECK(left.empty());
}

struct partial_load_case {
    const char* name;
    const char* lostBatch;
    /// Models of the batches "a" and "b", which were accepted in this order.
    const char* modelOfA;
    const char* modelOfB;
    bool isLoadedA;
    bool isLoadedB;
};

const partial_load_case partialLoadCases[] = {
    { "the first of two models", "a", "m-1", "m-2", false, true },
    { "the second of two models", "b", "m-1", "m-2", true, false },
    { "the later batch of one model", "b", "m-1", "m-1", true, false },
    // Items of the later batch may be resubmitted ones of the earlier batch.
    { "the earlier batch of one model", "a", "m-1", "m-1", false, false },
};

// One batch whose contents could not be read kept the batches of all models of its owner from running.
TEST_CASE("A batch whose contents cannot be read keeps only the later batches of its model from loading")
{
    for (const partial_load_case& row : partialLoadCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            journal writer(context, log, {}, "writer", [](const ledger_batch&) {});
            writer.start();
            for (const char* const id : { "a", "b" }) {
                batch_submission batch = largeBatch(5000);
                batch.id = id;
                batch.model = std::string(id) == "a" ? row.modelOfA : row.modelOfB;
                writer.write(batch_accepted { batch }, write_mode::FailOnRefusal, {});
                runUntil(context, [&writer, id] { return writer.ledger().find(id); });
            }
            const text_reference lost = *writer.ledger().find(row.lostBatch)->submission.contents;
            writer.texts().remove(std::span(&lost, 1));
            runUntil(context, [&writer] { return writer.pendingWrites() == 0; });
            log.compact();
            journal owner(context, log, {}, "owner", [](const ledger_batch&) {});
            owner.start();
            runUntil(context, [&owner] { return owner.isReady(); });
            owner.fetch("a");
            owner.fetch("b");
            runUntil(context, [&owner] { return owner.isFollowed("a") && owner.isFollowed("b"); });
            ragwortreach::log logger({}, "vm1");
            contents_cache cache;
            batch_loader loader(owner, cache, logger);
            loader.tick([](const ledger_batch&) { return true; }, bootNow());
            const std::uint64_t expected = (row.isLoadedA ? 1 : 0) + (row.isLoadedB ? 1 : 0);
            runUntil(context, [&loader, expected] { return loader.counters().readFailures == 1 && loader.counters().loaded == expected; });
            CHECK(owner.ledger().find("a")->isLoaded == row.isLoadedA);
            CHECK(owner.ledger().find("b")->isLoaded == row.isLoadedB);
        }
    }
}
