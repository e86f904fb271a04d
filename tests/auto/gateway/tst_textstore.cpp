#include "memorylog.h"

#include <gateway/textstore.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

struct text_case {
    const char* name;
    std::size_t bytes;
    std::vector<append_fault> faults;
    bool isHistoryGone;
};

const text_case textCases[] = {
    { "short", 700, {}, false },
    { "longer than a record", std::size_t { 450 } * 1024, {}, false },
    { "the history is gone", 700, {}, true },
    { "longer than a record, the history is gone", std::size_t { 450 } * 1024, {}, true },
    { "the answer to the append is lost", 700, { append_fault::LoseAnswer }, false },
    { "the records are appended late, and the history is gone", 700, { append_fault::ApplyLate }, true },
    { "the append is refused first", 700, { append_fault::Refuse }, false },
};

/// Runs handlers until \a isDone; fails when none is left to run.
void runUntil(boost::asio::io_context& context, const std::function<bool()>& isDone)
{
    context.restart();
    while (!isDone())
        REQUIRE(context.run_one() == 1);
}

text_reference writeText(boost::asio::io_context& context, text_store& store, const std::string& item, const std::string& text)
{
    std::optional<text_reference> reference;
    store.write("batch", item, text, write_mode::RetryOnRefusal, [&reference](const text_report& report) { reference = report.reference; });
    runUntil(context, [&reference] { return reference.has_value(); });
    return *reference;
}

std::optional<text_store::text_list> readAll(boost::asio::io_context& context, text_store& store, std::vector<text_reference> references)
{
    bool isDone = false;
    std::optional<text_store::text_list> result;
    store.read(std::move(references), [&isDone, &result](const std::optional<text_store::text_list>& texts) {
        isDone = true;
        result = texts;
    });
    runUntil(context, [&isDone] { return isDone; });
    return result;
}

}

TEST_CASE("A text can be read by a daemon that did not write it")
{
    for (const text_case& row : textCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            log.setFaults(row.faults);
            text_store writer(context, log, 2, "writer");
            text_store reader(context, log, 2, "reader");
            const std::string first = std::string(row.bytes, 'a') + "first";
            const std::string second = std::string(row.bytes, 'b') + "second";
            std::vector<text_reference> references { writeText(context, writer, "i1", first), writeText(context, writer, "i2", second) };
            std::swap(references[0], references[1]);
            if (row.isHistoryGone)
                log.compact();
            const std::optional<text_store::text_list> texts = readAll(context, reader, references);
            REQUIRE(texts);
            CHECK(*texts->at(0) == second);
            CHECK(*texts->at(1) == first);
        }
    }
}

TEST_CASE("While the log is unavailable, only texts that were read before can be read")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store writer(context, log, 1, "writer");
    text_store reader(context, log, 1, "reader");
    const text_reference seen = writeText(context, writer, "i1", "seen");
    const text_reference unseen = writeText(context, writer, "i2", "unseen");
    REQUIRE(readAll(context, reader, { seen }));
    log.setDown(true);
    CHECK(readAll(context, reader, { seen }));
    CHECK_FALSE(readAll(context, reader, { seen, unseen }));
    log.setDown(false);
    CHECK(readAll(context, reader, { seen, unseen }));
}

TEST_CASE("A text is not returned when the records at its offset do not match its reference")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store store(context, log, 1, "store");
    text_reference reference = writeText(context, store, "i1", "text");
    writeText(context, store, "i2", "other");
    reference.key = "batch/i3/store";
    text_store reader(context, log, 1, "reader");
    CHECK_FALSE(readAll(context, reader, { reference }));
    reference.key = "batch/i1/store";
    reference.bytes = 400;
    CHECK_FALSE(readAll(context, reader, { reference }));
}

TEST_CASE("Removing a text removes all its records from the log")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store store(context, log, 1, "store");
    const text_reference reference = writeText(context, store, "i1", std::string(std::size_t { 450 } * 1024, 'x'));
    REQUIRE(reference.records == 3);
    const text_reference references[] = { reference };
    store.remove(references);
    runUntil(context, [&store] { return store.pendingWrites() == 0; });
    const std::vector<keyed_record>& records = log.records();
    REQUIRE(records.size() == 6);
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK(records[index].key == records[index + 3].key);
        CHECK_FALSE(records[index + 3].value);
    }
}
