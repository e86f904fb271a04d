#include "memorylog.h"

#include <gateway/textstore.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <span>

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
    { "longer than an append", std::size_t { 4500 } * 1024, {}, false },
    { "longer than an append, the history is gone", std::size_t { 4500 } * 1024, {}, true },
    { "longer than an append, the answer to the second one is lost", std::size_t { 2500 } * 1024, { append_fault::None, append_fault::LoseAnswer }, false },
    { "the append is refused first", 700, { append_fault::Refuse }, false },
};

/// Runs handlers until \a isDone; fails when none is left to run.
void runUntil(boost::asio::io_context& context, const std::function<bool()>& isDone)
{
    context.restart();
    while (!isDone())
        REQUIRE(context.run_one() == 1);
}

text_reference writeText(boost::asio::io_context& context, text_store& store, const std::string& item, const std::string& text, const std::string& batch = "batch")
{
    std::optional<text_reference> reference;
    store.write(batch, item, text, write_mode::RetryOnRefusal, [&reference](const text_report& report) { reference = report.reference; });
    runUntil(context, [&reference] { return reference.has_value(); });
    return *reference;
}

/// Texts of \a count items, whose names sort like their numbers.
std::vector<text_reference> writeTexts(boost::asio::io_context& context, text_store& store, std::size_t count, std::size_t bytes)
{
    std::vector<text_reference> references;
    for (std::size_t number = 0; number < count; ++number)
        references.push_back(writeText(context, store, "i-" + std::to_string(number + 1000), std::string(bytes, 'x') + std::to_string(number)));
    return references;
}

/// The texts, or nothing when one of them is missing.
std::optional<text_list> readAll(boost::asio::io_context& context, text_store& store, const std::vector<text_reference>& references)
{
    std::optional<text_outcome> result;
    store.read(references, {}, [&result](const text_outcome& outcome) { result = outcome; });
    runUntil(context, [&result] { return result.has_value(); });
    return result->isComplete ? std::optional<text_list>(result->texts) : std::nullopt;
}

/// Starts a read that increments \a complete when it has got all its texts.
void countComplete(text_store& store, const std::vector<text_reference>& references, std::size_t& complete)
{
    store.read(references, {}, [&complete](const text_outcome& outcome) { complete += outcome.isComplete ? 1U : 0U; });
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
            const std::optional<text_list> texts = readAll(context, reader, references);
            REQUIRE(texts);
            CHECK(*texts->at(0) == second);
            CHECK(*texts->at(1) == first);
        }
    }
}

TEST_CASE("Texts of several appends that two daemons write at the same time can both be read")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store first(context, log, 1, "first");
    text_store second(context, log, 1, "second");
    std::vector<text_reference> references;
    const auto keep = [&references](const text_report& report) { references.push_back(report.reference); };
    constexpr std::size_t bytes = std::size_t { 2500 } * 1024;
    first.write("batch", "i1", std::string(bytes, 'a'), write_mode::RetryOnRefusal, keep);
    second.write("batch", "i2", std::string(bytes, 'b'), write_mode::RetryOnRefusal, keep);
    runUntil(context, [&references] { return references.size() == 2; });
    text_store reader(context, log, 1, "reader");
    const std::optional<text_list> texts = readAll(context, reader, references);
    REQUIRE(texts);
    CHECK(*texts->at(0) == std::string(bytes, 'a'));
    CHECK(*texts->at(1) == std::string(bytes, 'b'));
}

TEST_CASE("A text of several appends of which a later one is refused leaves nothing in the log")
{
    boost::asio::io_context context;
    memory_log log(context);
    log.setFaults({ append_fault::None, append_fault::Refuse });
    text_store store(context, log, 1, "store");
    std::optional<append_status> status;
    store.write("batch", "i1", std::string(std::size_t { 2500 } * 1024, 'x'), write_mode::FailOnRefusal, [&status](const text_report& report) { status = report.status; });
    runUntil(context, [&status, &store] { return status && store.pendingWrites() == 0; });
    CHECK(status == append_status::Refused);
    std::map<std::string, bool> isKept;
    for (const keyed_record& record : log.records())
        isKept[record.key] = record.value.has_value();
    REQUIRE(isKept.size() >= 5);
    for (const std::pair<const std::string, bool>& item : isKept)
        CHECK_FALSE(item.second);
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

struct cost_case {
    const char* name;
    /// Texts to read, of twelve texts in a batch, after its contents.
    std::size_t first;
    std::size_t count;
    std::size_t pages;
};

const cost_case costCases[] = {
    { "all texts", 0, 12, 4 },
    { "the first texts", 0, 3, 1 },
    { "the last texts", 9, 3, 1 },
    { "texts in the middle", 4, 4, 2 },
    { "one text", 7, 1, 1 },
};

// The pages of a batch were read from its contents on to its end, however few texts were missing.
TEST_CASE("Texts beyond the history cost the pages from the first missing one to the last")
{
    for (const cost_case& row : costCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            text_store writer(context, log, 1, "writer");
            text_store reader(context, log, 1, "reader");
            writeText(context, writer, "*", std::string(std::size_t { 450 } * 1024, 'c'));
            const std::vector<text_reference> all = writeTexts(context, writer, 12, 700);
            log.compact();
            const std::span<const text_reference> wanted = std::span(all).subspan(row.first, row.count);
            CHECK(readAll(context, reader, { wanted.begin(), wanted.end() }));
            CHECK(log.pages() == row.pages);
        }
    }
}

// The body of one item cost the pages of all results of its batch.
TEST_CASE("Contents beyond the history cost only their own pages")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store writer(context, log, 1, "writer");
    text_store reader(context, log, 1, "reader");
    const text_reference contents = writeText(context, writer, "*", std::string(std::size_t { 450 } * 1024, 'c'));
    writeTexts(context, writer, 12, 700);
    log.compact();
    CHECK(readAll(context, reader, { contents }));
    CHECK(log.pages() == 1);
}

// A read after a failed page began at the first page of the batch again.
TEST_CASE("A read of texts beyond the history continues after the pages of one that failed")
{
    for (const std::size_t bytes : { std::size_t { 700 }, std::size_t { 450 } * 1024 }) {
        DYNAMIC_SECTION("texts of " << bytes << " bytes")
        {
            boost::asio::io_context context;
            memory_log log(context);
            text_store writer(context, log, 1, "writer");
            text_store reader(context, log, 1, "reader");
            const std::vector<text_reference> references = writeTexts(context, writer, 4, bytes);
            log.compact();
            std::size_t records = 0;
            for (const text_reference& reference : references)
                records += reference.records;
            log.failPageAfter(1, 2);
            std::size_t attempts = 1;
            while (!readAll(context, reader, references))
                REQUIRE(++attempts < 5);
            CHECK(attempts > 1);
            CHECK(log.pages() == (records + 2) / 3);
        }
    }
}

// Each of several reads of the same texts sent its own requests to the log.
TEST_CASE("Reads of the same texts at the same time share their requests to the log")
{
    for (const bool isHistoryGone : { false, true }) {
        DYNAMIC_SECTION((isHistoryGone ? "the history is gone" : "the history has the texts"))
        {
            constexpr std::size_t readers = 10;
            boost::asio::io_context context;
            memory_log log(context);
            text_store writer(context, log, 1, "writer");
            text_store reader(context, log, 1, "reader");
            const std::vector<text_reference> references = writeTexts(context, writer, 12, 700);
            if (isHistoryGone)
                log.compact();
            std::size_t complete = 0;
            for (std::size_t number = 0; number < readers; ++number)
                countComplete(reader, references, complete);
            runUntil(context, [&complete] { return complete == readers; });
            CHECK(log.reads() == 1);
            CHECK(log.pages() == (isHistoryGone ? 4 : 0));
        }
    }
}

// A text that another read's range had passed over was taken for one that is not at its offset, and read from a page.
TEST_CASE("Reads of overlapping texts need no pages while the history has the texts")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store writer(context, log, 1, "writer");
    text_store reader(context, log, 1, "reader");
    const std::vector<text_reference> all = writeTexts(context, writer, 6, 700);
    std::size_t complete = 0;
    countComplete(reader, { all[0], all[2], all[4] }, complete);
    countComplete(reader, all, complete);
    runUntil(context, [&complete] { return complete == 2; });
    CHECK(log.pages() == 0);
    CHECK(log.reads() <= 2);
}

// The cache was smaller than the texts of one batch, so a second list of it was read from the log again.
TEST_CASE("The texts of a list and the contents of its batch are read from the log once")
{
    boost::asio::io_context context;
    memory_log log(context);
    text_store writer(context, log, 1, "writer");
    text_store reader(context, log, 1, "reader");
    const text_reference contents = writeText(context, writer, "*", std::string(std::size_t { 1400 } * 1024, 'c'));
    const std::vector<text_reference> references = writeTexts(context, writer, 150, 6000);
    REQUIRE(readAll(context, reader, references));
    REQUIRE(readAll(context, reader, { contents }));
    const std::size_t reads = log.reads();
    CHECK(readAll(context, reader, references));
    CHECK(readAll(context, reader, { contents }));
    CHECK(log.reads() == reads);
}

struct reader_case {
    const char* name;
    std::size_t readers;
    /// Texts of the batch that are read at a time.
    std::size_t listed;
};

const reader_case readerCases[] = {
    { "one reader, all texts at once", 1, 176 },
    { "one reader, lists of 0.9 MB", 1, 150 },
    { "ten readers, lists of 0.9 MB", 10, 150 },
    { "ten readers, ten texts at a time", 10, 10 },
};

TEST_CASE("However many read a batch of 176 texts beyond the history at one daemon, it costs one request by offset and two pages")
{
    constexpr std::size_t items = 176;
    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;
    for (const reader_case& row : readerCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            log.setPageLimits(500, megabyte);
            text_store writer(context, log, 1, "writer");
            text_store reader(context, log, 1, "reader");
            writeText(context, writer, "*", std::string(megabyte, 'c'));
            const std::vector<text_reference> all = writeTexts(context, writer, items, 6000);
            log.compact();
            for (std::size_t first = 0; first < items; first += row.listed) {
                const std::span<const text_reference> page = std::span(all).subspan(first, std::min(row.listed, items - first));
                std::size_t complete = 0;
                for (std::size_t number = 0; number < row.readers; ++number)
                    countComplete(reader, { page.begin(), page.end() }, complete);
                runUntil(context, [&complete, &row] { return complete == row.readers; });
            }
            CHECK(reader.counters().rangeRequests == 1);
            CHECK(reader.counters().pageRequests == 2);
            CHECK(reader.counters().pageBytes < items * 6100);
            CHECK(reader.counters().failedRequests == 0);
        }
    }
}

struct interleaving_case {
    const char* name;
    /// Batches whose texts were written in turn.
    std::size_t batches;
    /// Texts of one of them that are read.
    std::size_t texts;
    std::size_t maxRequests;
    /// Largest number of bytes that are read for each byte of the texts.
    double maxFactor;
};

const interleaving_case interleavingCases[] = {
    { "one batch", 1, 150, 1, 1.1 },
    { "few batches", 3, 150, 4, 3.5 },
    { "many batches, a new list", 25, 10, 10, 1.1 },
    { "many batches, a list from the start", 25, 150, 2, 1.2 },
};

// A list of 150 texts, 0.9 MB, that were written between those of 24 other batches cost 59 requests for 18 MB.
TEST_CASE("Texts that lie far apart in the history cost few requests and little more than their bytes")
{
    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;
    constexpr std::size_t textBytes = 6000;
    for (const interleaving_case& row : interleavingCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            memory_log log(context);
            log.setPageLimits(500, megabyte);
            text_store writer(context, log, 1, "writer");
            text_store reader(context, log, 1, "reader");
            std::vector<text_reference> wanted;
            for (std::size_t item = 0; item < row.texts; ++item) {
                wanted.push_back(writeText(context, writer, "i-" + std::to_string(item), std::string(textBytes, 'x')));
                for (std::size_t batch = 1; batch < row.batches; ++batch)
                    writeText(context, writer, "i-" + std::to_string(item), std::string(textBytes, 'y'), "other-" + std::to_string(batch));
            }
            REQUIRE(readAll(context, reader, wanted));
            const text_counters& counters = reader.counters();
            CHECK(counters.rangeRequests + counters.pageRequests <= row.maxRequests);
            CHECK(static_cast<double>(counters.rangeBytes + counters.pageBytes) <= row.maxFactor * static_cast<double>(row.texts * textBytes));
        }
    }
}
