#include "memorylog.h"

#include <gateway/batchloader.h>
#include <gateway/bootclock.h>
#include <gateway/journal.h>
#include <support/log.h>

#include <catch2/catch.hpp>

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
    for (const std::size_t bytes : { 10U, 200U * 1024U, 900U * 1024U }) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            boost::asio::io_context context;
            memory_log log(context);
            int changes = 0;
            journal first(context, log, {}, "first", [&changes](const ledger_batch&) { ++changes; });
            first.start();
            first.write(batch_accepted { largeBatch(bytes) }, write_mode::FailOnRefusal, {});
            runUntil(context, [&changes] { return changes == 1; });
            first.write(item_finished { "b", "i", true, { "text", 1, { 4 } } }, write_mode::RetryOnRefusal, {});
            runUntil(context, [&changes] { return changes == 2; });
            log.compact();
            journal second(context, log, {}, "second", [](const ledger_batch&) {});
            second.start();
            runUntil(context, [&second] { return second.isReady(); });
            const ledger_batch* const batch = second.ledger().find("b");
            REQUIRE(batch);
            ragwortreach::log logger({}, "vm1");
            batch_loader loader(second, logger);
            // Contents stored apart from the journal are loaded on demand only.
            CHECK(batch->isLoaded == (bytes < 600));
            loader.tick([](const ledger_batch&) { return true; }, bootNow());
            runUntil(context, [batch] { return batch->isLoaded; });
            CHECK(batch->submission.items[0].body.size() == bytes);
            CHECK(batch->submission.items[0].headers.size() == 1);
            REQUIRE(batch->results.size() == 1);
            CHECK(batch->results[0].output.versions == std::vector<std::uint64_t> { 4 });
            loader.tick([](const ledger_batch&) { return false; }, bootNow());
            CHECK(batch->submission.items[0].body.empty() == (bytes >= 600));
        }
    }
}

TEST_CASE("Records that cannot be decoded are counted and skipped")
{
    boost::asio::io_context context;
    memory_log log(context);
    log.put("unknown/1/0", ".\xff\xff\xff");
    log.put("unknown/2/0", "");
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
    runUntil(context, [&writer, &other] { return writer.counters().recordsApplied == 2 && other.pendingWrites() == 0; });
    writer.write(item_finished { "b", "i", true, { "text", 1, { 4 } } }, write_mode::RetryOnRefusal, {});
    runUntil(context, [&changes, &other] { return changes == 2 && other.pendingWrites() == 0; });
    runUntil(context, [&writer, &log] { return writer.counters().recordsApplied == 3 && log.records().size() >= 3; });
    const topic_partition texts { "keyed.ragwortreach.texts", 0 };
    const std::size_t writtenTexts = log.records(texts).size();
    const std::size_t written = log.records().size();
    writer.forgetBefore(instant::max(), [](const ledger_batch&) { return true; });
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
    CHECK(log.records().back().key.starts_with("writer/2/"));
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
    batch_loader loader(writer, logger);
    loader.tick([](const ledger_batch&) { return true; }, bootNow());
    runUntil(context, [&loader] { return loader.counters().loaded == 2; });
    for (const char* const id : { "a-batch-with-a-long-id", "b-batch-with-a-long-id" })
        CHECK(writer.ledger().find(id)->submission.items[0].path == std::string("/") + id);
}
