#include "memorylog.h"
#include "virtualtime.h"

#include <gateway/topicfollower.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

/// Follower of a log in memory; keeps the newest value of each key and the offsets of the records in the order delivered.
struct follower_fixture {
    follower_fixture()
        : log(context)
        , follower(context, log, { { "topic", 0 }, {}, std::chrono::milliseconds(1) },
              { [this](std::span<const keyed_record> all, std::span<const keyed_record> newRecords) { applySnapshot(all, newRecords); },
                  [this](std::span<const keyed_record> records) { apply(records); },
                  [this] { deliveredAtConfirmation = deliveredOffsets.size(); isBehind = false; },
                  {},
                  [this] { isBehind = true; },
                  [this](const oversized_record& record) { oversized.push_back(record); } })
    {
    }

    void applySnapshot(std::span<const keyed_record> all, std::span<const keyed_record> newRecords)
    {
        values.clear();
        for (const keyed_record& record : all)
            values[record.key] = *record.value;
        for (const keyed_record& record : newRecords)
            deliveredOffsets.push_back(record.offset);
        ++snapshots;
        if (whenSnapshotRead)
            whenSnapshotRead();
    }

    void apply(std::span<const keyed_record> records)
    {
        for (const keyed_record& record : records) {
            deliveredOffsets.push_back(record.offset);
            if (record.value)
                values[record.key] = *record.value;
            else
                values.erase(record.key);
        }
    }

    void runReads(std::size_t count)
    {
        const std::size_t end = log.reads() + count;
        while (log.reads() < end)
            context.run_one();
    }

    boost::asio::io_context context;
    memory_log log;
    topic_follower follower;
    std::map<std::string, std::string> values;
    std::vector<std::uint64_t> deliveredOffsets;
    int snapshots = 0;
    std::function<void()> whenSnapshotRead;
    std::size_t deliveredAtConfirmation = 0;
    bool isBehind = false;
    std::vector<oversized_record> oversized;
};

/// The same in virtual time.
struct timed_follower_fixture : follower_fixture {
    void putKeys(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            log.put("key-" + std::to_string(100 + number), "value");
    }

    /// Starts before a page with a record that is larger than the follower takes.
    void startBeforeOversizedPage()
    {
        follower.setMaxRecordBytes(1000);
        log.put("config", std::string(2000, 'c'));
        follower.start();
    }

    virtual_time time { context };
};

}

TEST_CASE("A follower reads all pages and continues with the tail")
{
    follower_fixture fixture;
    for (int number = 0; number < 10; ++number)
        fixture.log.put("key" + std::to_string(number), "v");
    fixture.follower.start();
    fixture.runReads(1);
    CHECK(fixture.follower.isReady());
    CHECK(fixture.values.size() == 10);
    CHECK(fixture.deliveredAtConfirmation == 10);
    fixture.log.put("key3", "new");
    fixture.log.erase("key4");
    fixture.runReads(3);
    CHECK(fixture.values.at("key3") == "new");
    CHECK_FALSE(fixture.values.contains("key4"));
    CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 });
    CHECK(fixture.follower.confirmedAt() != instant {});
}

TEST_CASE("A snapshot confirms the records that were in the log when its first page was requested")
{
    follower_fixture fixture;
    fixture.log.put("a", "1");
    fixture.follower.start();
    while (fixture.snapshots == 0)
        fixture.context.run_one();
    CHECK(fixture.follower.confirmedAt() != instant {});
}

TEST_CASE("A follower reads a new snapshot when the log has dropped records, and delivers no record twice")
{
    follower_fixture fixture;
    fixture.log.put("a", "1");
    fixture.log.put("b", "1");
    fixture.follower.start();
    fixture.runReads(2);
    fixture.log.put("a", "2");
    fixture.log.erase("b");
    fixture.log.put("c", "1");
    fixture.log.compact();
    fixture.runReads(3);
    CHECK(fixture.snapshots == 2);
    CHECK(fixture.values == std::map<std::string, std::string> { { "a", "2" }, { "c", "1" } });
    CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0, 1, 2, 4 });
}

TEST_CASE("A follower resumes after an outage and records when it ended")
{
    follower_fixture fixture;
    fixture.log.put("a", "1");
    fixture.follower.start();
    fixture.runReads(2);
    CHECK(fixture.follower.regainedAt() == instant {});
    fixture.log.setDown(true);
    fixture.runReads(2);
    CHECK(fixture.follower.readFailures() > 0);
    fixture.log.setDown(false);
    fixture.log.put("a", "2");
    fixture.runReads(3);
    CHECK(fixture.values.at("a") == "2");
    CHECK(fixture.follower.regainedAt() != instant {});
}

TEST_CASE("A follower resumes soon after an outage during which reads were left without an answer")
{
    follower_fixture fixture;
    fixture.log.put("a", "1");
    fixture.follower.start();
    fixture.runReads(2);
    fixture.log.setSilent(true);
    fixture.context.run_for(std::chrono::milliseconds(350));
    fixture.log.setSilent(false);
    fixture.log.put("a", "2");
    fixture.context.run_for(std::chrono::milliseconds(500));
    CHECK(fixture.values.at("a") == "2");
    CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0, 1 });
    CHECK(fixture.follower.regainedAt() != instant {});
}

TEST_CASE("A follower of a slow log soon waits for the answers and does not read twice")
{
    timed_follower_fixture fixture;
    fixture.follower.start();
    fixture.time.advance(std::chrono::milliseconds(10));
    REQUIRE(fixture.log.reads() >= 1);
    fixture.log.setReadDelay(std::chrono::milliseconds(400));
    const std::size_t before = fixture.log.reads();
    fixture.time.advance(std::chrono::milliseconds(2400));
    CHECK(fixture.log.reads() - before >= 4);
    CHECK(fixture.log.reads() - before <= 8);
}

TEST_CASE("A follower resumes after the pages that it has already read when reading one fails")
{
    follower_fixture fixture;
    for (int number = 0; number < 40; ++number)
        fixture.log.put("key-" + std::to_string(100 + number), "value");
    fixture.follower.start();
    while (!fixture.follower.isReady())
        fixture.context.run_one();
    const std::size_t pageCount = fixture.log.pages();
    REQUIRE(pageCount > 2);

    follower_fixture failing;
    for (int number = 0; number < 40; ++number)
        failing.log.put("key-" + std::to_string(100 + number), "value");
    failing.log.failPageAfter(pageCount - 1);
    failing.follower.start();
    while (!failing.follower.isReady())
        failing.context.run_one();
    CHECK(failing.log.pages() == pageCount);
    CHECK(failing.values.size() == 40);
    CHECK(failing.deliveredOffsets.size() == 40);
}

// Followers whose reads were overdue asked for 128 KB each 0.3 s and gave up after 0.9 s, which kept the log busy for good.
TEST_CASE("While the log does not answer, a follower asks for little, more and more rarely, and waits for a busy log")
{
    follower_fixture fixture;
    fixture.follower.start();
    fixture.runReads(1);
    fixture.log.setSilent(true);
    const std::size_t before = fixture.log.reads();
    const std::size_t bytesBefore = fixture.log.askedBytes();
    fixture.context.run_for(std::chrono::seconds(3));
    const std::size_t reads = fixture.log.reads() - before;
    CHECK(reads >= 4);
    CHECK(reads <= 7);
    CHECK(fixture.log.askedBytes() - bytesBefore <= std::size_t { 100 } * 1024);
    CHECK(fixture.log.lastSlack() >= std::chrono::seconds(5));
    CHECK(fixture.follower.tail().overdueReads + 1 >= reads);
}

TEST_CASE("A follower that is behind reads on at once, in answers of a bounded size, until it has reached the end")
{
    constexpr std::size_t records = 300;
    follower_fixture fixture;
    fixture.follower.setPollInterval(std::chrono::hours(1));
    fixture.whenSnapshotRead = [&fixture] {
        for (std::size_t number = 0; number < records; ++number)
            fixture.log.put("key-" + std::to_string(number), std::string(1000, 'v'));
    };
    fixture.follower.start();
    while (fixture.deliveredOffsets.size() < records)
        REQUIRE(fixture.context.run_one_for(std::chrono::seconds(10)) == 1);
    CHECK(fixture.log.reads() == 5);
    CHECK(fixture.follower.backlog() == 0);
}

namespace {

/// A record that arrives at a rate.
struct arrival_case {
    const char* name;
    std::size_t bytes;
    /// Bytes a second; 0 for at once.
    std::size_t rate;
    /// Time until the log answers.
    duration delay;
    /// Longest time until the record is delivered, and until the follower knows that there is one.
    duration deliveredIn;
    duration knownIn;
    /// Number of times that the record is sent, at most.
    std::size_t sent;
};

const arrival_case arrivalCases[] = {
    { "at once", 400000, 0, 0ms, 10ms, 10ms, 1 },
    { "over a narrow link", 400000, 1000000, 0ms, 450ms, 10ms, 1 },
    { "over a very narrow link", 400000, 50000, 0ms, 8100ms, 10ms, 1 },
    { "from a slow log", 400000, 0, 800ms, 900ms, 900ms, 1 },
    { "from a slow log over a narrow link", 400000, 200000, 1000ms, 3200ms, 2400ms, 2 },
};

}

// Followers asked for a large record again and again while it was under way, which kept links and the log busy.
TEST_CASE("A large record was fetched several times before it had arrived")
{
    for (const arrival_case& row : arrivalCases) {
        INFO(row.name);
        timed_follower_fixture fixture;
        fixture.follower.start();
        fixture.time.advance(20ms);
        REQUIRE(fixture.follower.isReady());
        fixture.log.setReadRate(row.rate);
        fixture.log.setReadDelay(row.delay);
        fixture.log.put("config", std::string(row.bytes, 'c'));
        fixture.time.advance(row.knownIn);
        CHECK((fixture.isBehind || !fixture.deliveredOffsets.empty()));
        fixture.time.advance(row.deliveredIn - row.knownIn);
        CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0 });
        CHECK(fixture.log.sentBytes() <= row.sent * (row.bytes + 100));
        CHECK(fixture.oversized.empty());
        fixture.time.advance(2 * row.delay + 500ms);
        CHECK_FALSE(fixture.isBehind);
    }
}

// A record larger than a read allowed for was asked for again without an end, and nothing said so.
TEST_CASE("A follower stayed behind for good before a record that was too large")
{
    timed_follower_fixture fixture;
    fixture.follower.setMaxRecordBytes(1000);
    fixture.log.put("before", "1");
    fixture.follower.start();
    fixture.time.advance(20ms);
    fixture.log.put("small", "1");
    fixture.log.put("config", std::string(2000, 'c'));
    fixture.log.put("after", "1");
    fixture.time.advance(20ms);
    CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0, 1, 3 });
    REQUIRE(fixture.oversized.size() == 1);
    CHECK(fixture.oversized.front().key == "config");
    CHECK(fixture.oversized.front().offset == 2);
    CHECK(fixture.oversized.front().bytes > 2000);
    CHECK(fixture.follower.tail().oversizedRecords == 1);
    CHECK_FALSE(fixture.isBehind);
    fixture.time.advance(5s);
    CHECK(fixture.oversized.size() == 1);
}

TEST_CASE("A follower learned only after fifteen seconds that a small record had replaced one that was too large for a page")
{
    timed_follower_fixture fixture;
    fixture.startBeforeOversizedPage();
    fixture.time.advance(5s);
    CHECK_FALSE(fixture.follower.isReady());
    CHECK(fixture.log.pageRequests() <= 2);
    CHECK(fixture.log.reads() <= 12);
    fixture.log.put("config", "small");
    fixture.time.advance(2s);
    CHECK(fixture.follower.isReady());
    CHECK(fixture.values["config"] == "small");
    CHECK(fixture.log.pageRequests() <= 3);
}

TEST_CASE("A follower of a busy log requests a page that is too large ever more rarely")
{
    timed_follower_fixture fixture;
    fixture.startBeforeOversizedPage();
    for (int second = 0; second < 60; ++second) {
        fixture.log.put("other", "value");
        fixture.time.advance(1s);
    }
    CHECK(fixture.log.pageRequests() <= 15);
    CHECK(fixture.log.reads() <= 15);
}

TEST_CASE("A follower requests a page that was too large again, although nothing was written")
{
    timed_follower_fixture fixture;
    fixture.startBeforeOversizedPage();
    fixture.time.advance(5s);
    fixture.follower.setMaxRecordBytes(4000);
    fixture.time.advance(16s);
    CHECK(fixture.follower.isReady());
    CHECK(fixture.values["config"].size() == 2000);
}

// The further request is due after 1 s, and the next one 2 s later.
TEST_CASE("A follower stayed behind for five seconds since a page got no answer")
{
    const std::size_t silentPages = GENERATE(1U, 2U);
    const std::size_t pagesBefore = GENERATE(0U, 1U);
    CAPTURE(silentPages, pagesBefore);
    timed_follower_fixture fixture;
    fixture.putKeys(9);
    fixture.log.setPageDelay(std::chrono::milliseconds(100));
    if (pagesBefore == 0)
        fixture.log.setSilentPages(silentPages);
    fixture.follower.start();
    fixture.time.advance(std::chrono::milliseconds(50));
    if (pagesBefore > 0)
        fixture.log.setSilentPages(silentPages);
    fixture.time.advance(std::chrono::milliseconds(silentPages == 1 ? 1400 : 3400));
    CHECK(fixture.follower.isReady());
    CHECK(fixture.values.size() == 9);
    CHECK(fixture.deliveredOffsets == std::vector<std::uint64_t> { 0, 1, 2, 3, 4, 5, 6, 7, 8 });
}

TEST_CASE("A follower stayed behind for five seconds since a page after a dropped history got no answer")
{
    timed_follower_fixture fixture;
    fixture.log.put("a", "1");
    fixture.follower.start();
    fixture.time.advance(std::chrono::milliseconds(50));
    REQUIRE(fixture.snapshots == 1);
    fixture.log.put("a", "2");
    fixture.log.compact();
    fixture.log.setSilentPages(1);
    fixture.time.advance(std::chrono::milliseconds(1200));
    CHECK(fixture.snapshots == 2);
    CHECK(fixture.values.at("a") == "2");
}

TEST_CASE("A follower requests overdue pages again over new connections, at most twice while none of these is answered")
{
    timed_follower_fixture fixture;
    fixture.putKeys(9);
    fixture.log.setSilentPages(1000);
    const instant start = fixture.time.now();
    fixture.follower.start();
    fixture.time.advance(std::chrono::milliseconds(990));
    CHECK(fixture.log.pageRequests() == 1);
    fixture.time.advance(std::chrono::milliseconds(3900));
    CHECK(fixture.log.pageRequests() == 3);
    CHECK(fixture.log.newPageConnections() == 2);
    fixture.time.advance(std::chrono::seconds(10));
    CHECK(fixture.log.pageRequests() == 5);
    CHECK(fixture.log.newPageConnections() == 2);
    fixture.log.setSilentPages(0);
    // Three snapshots fail, and a pause of random length follows each of them.
    constexpr duration longestPauses = std::chrono::milliseconds(150 + 300 + 600);
    const instant fourthSnapshot = start + 3 * longestAnswerTime + longestPauses;
    fixture.time.advance(fourthSnapshot - fixture.time.now() + std::chrono::milliseconds(10));
    CHECK(fixture.values.size() == 9);
}

// Followers that asked again for whole pages on every delay would keep a busy log busy.
TEST_CASE("A follower of a log that is slow to send pages asks twice more at most for a snapshot, and ignores late answers")
{
    const std::chrono::milliseconds delay = GENERATE(std::chrono::milliseconds(1500), std::chrono::milliseconds(4500));
    CAPTURE(delay.count());
    timed_follower_fixture fixture;
    fixture.putKeys(30);
    fixture.log.setPageDelay(delay);
    fixture.follower.start();
    fixture.time.advance(10 * delay + std::chrono::milliseconds(100));
    CHECK(fixture.follower.isReady());
    CHECK(fixture.values.size() == 30);
    CHECK(fixture.deliveredOffsets.size() == 30);
    CHECK(fixture.log.pageRequests() == 12);
    fixture.time.advance(std::chrono::seconds(10));
    CHECK(fixture.snapshots == 1);
    CHECK(fixture.log.pageRequests() == 12);
}
