#include "memorylog.h"

#include <gateway/topicfollower.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

/// Follows a log in memory and keeps the newest value of each key as the follower delivers it.
struct follower_world {
    explicit follower_world(std::uint32_t maxSlackDoublings = 0)
        : log(context)
        , follower(context, log, { { "topic", 0 }, {}, std::chrono::milliseconds(1), maxSlackDoublings },
              { [this](std::span<const keyed_record> all, std::span<const keyed_record> fresh) { takeSnapshot(all, fresh); },
                  [this](std::span<const keyed_record> records) { take(records); } })
    {
    }

    void takeSnapshot(std::span<const keyed_record> all, std::span<const keyed_record> fresh)
    {
        values.clear();
        for (const keyed_record& record : all)
            values[record.key] = *record.value;
        for (const keyed_record& record : fresh)
            journal.push_back(record.offset);
        ++snapshots;
    }

    void take(std::span<const keyed_record> records)
    {
        for (const keyed_record& record : records) {
            journal.push_back(record.offset);
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
    std::vector<std::uint64_t> journal;
    int snapshots = 0;
};

}

TEST_CASE("A follower reads all pages and goes on with the tail")
{
    follower_world world;
    for (int number = 0; number < 10; ++number)
        world.log.put("key" + std::to_string(number), "v");
    world.follower.start();
    world.runReads(1);
    CHECK(world.follower.isReady());
    CHECK(world.values.size() == 10);
    world.log.put("key3", "new");
    world.log.erase("key4");
    world.runReads(3);
    CHECK(world.values.at("key3") == "new");
    CHECK_FALSE(world.values.contains("key4"));
    CHECK(world.journal == std::vector<std::uint64_t> { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 });
    CHECK(world.follower.confirmedAt() != instant {});
}

TEST_CASE("A snapshot confirms what stood in the log when its first page was asked for")
{
    follower_world world;
    world.log.put("a", "1");
    world.follower.start();
    while (world.snapshots == 0)
        world.context.run_one();
    CHECK(world.follower.confirmedAt() != instant {});
}

TEST_CASE("A follower begins again where the log has dropped records, and delivers none of them twice")
{
    follower_world world;
    world.log.put("a", "1");
    world.log.put("b", "1");
    world.follower.start();
    world.runReads(2);
    world.log.put("a", "2");
    world.log.erase("b");
    world.log.put("c", "1");
    world.log.compact();
    world.runReads(3);
    CHECK(world.snapshots == 2);
    CHECK(world.values == std::map<std::string, std::string> { { "a", "2" }, { "c", "1" } });
    CHECK(world.journal == std::vector<std::uint64_t> { 0, 1, 2, 4 });
}

TEST_CASE("A follower goes on after an outage and notes its end")
{
    follower_world world;
    world.log.put("a", "1");
    world.follower.start();
    world.runReads(2);
    CHECK(world.follower.regainedAt() == instant {});
    world.log.setDown(true);
    world.runReads(2);
    CHECK(world.follower.readFailures() > 0);
    world.log.setDown(false);
    world.log.put("a", "2");
    world.runReads(3);
    CHECK(world.values.at("a") == "2");
    CHECK(world.follower.regainedAt() != instant {});
}

TEST_CASE("A follower goes on after the pages that it has when one is not answered")
{
    follower_world world;
    for (int number = 0; number < 40; ++number)
        world.log.put("key-" + std::to_string(100 + number), "value");
    world.follower.start();
    while (!world.follower.isReady())
        world.context.run_one();
    const std::size_t wholeWalk = world.log.pages();
    REQUIRE(wholeWalk > 2);

    follower_world failing;
    for (int number = 0; number < 40; ++number)
        failing.log.put("key-" + std::to_string(100 + number), "value");
    failing.log.failPageAfter(wholeWalk - 1);
    failing.follower.start();
    while (!failing.follower.isReady())
        failing.context.run_one();
    CHECK(failing.log.pages() == wholeWalk);
    CHECK(failing.values.size() == 40);
    CHECK(failing.journal.size() == 40);
}

TEST_CASE("While the log is silent, a follower waits no longer for each answer unless its answers are large")
{
    struct slack_case {
        const char* name;
        std::uint32_t maxDoublings;
        duration slack;
    };
    const slack_case cases[] = {
        { "short answers", 0, read_range {}.slack },
        { "large answers", 1, 2 * read_range {}.slack },
    };
    for (const slack_case& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            follower_world world(row.maxDoublings);
            world.follower.start();
            world.runReads(1);
            world.log.setDown(true);
            world.runReads(5);
            CHECK(world.log.lastSlack() == row.slack);
        }
    }
}
