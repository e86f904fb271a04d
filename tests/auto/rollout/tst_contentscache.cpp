#include <rollout/contentscache.h>

#include <catch2/catch.hpp>

#include <string>

using namespace ragwortreach;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bodyBytes = 10000;
/// A little more than the memory of one item's contents.
constexpr std::size_t entryBytes = 10500;

item_contents contentsOf(std::size_t bytes = bodyBytes)
{
    return { {}, std::string(bytes, 'p'), {} };
}

std::vector<std::size_t> numbersOf(const std::vector<item_key>& keys)
{
    std::vector<std::size_t> numbers;
    numbers.reserve(keys.size());
    for (const item_key& key : keys)
        numbers.push_back(key.item);
    return numbers;
}

/// Names the items \a first to \a last for their runs, and returns those to read.
std::vector<std::size_t> needAll(contents_cache& cache, std::size_t first, std::size_t last, instant now = {})
{
    cache.beginPass();
    for (std::size_t item = first; item <= last; ++item)
        cache.need({ "b", item }, bodyBytes, contents_use::Run);
    cache.endPass(now);
    return numbersOf(cache.takeReads());
}

}

TEST_CASE("Contents that fit the limit are read once")
{
    contents_cache cache;
    for (std::size_t item = 0; item < 20; ++item)
        cache.offer({ "b", item }, contentsOf());
    CHECK_FALSE(cache.wantsLookAhead());
    CHECK(needAll(cache, 0, 19).empty());
    CHECK(cache.held() >= 20 * bodyBytes);
    cache.forget("b");
    CHECK(cache.held() == 0);
}

// A VM that took over open batches held all their contents at once, and was ended for its memory.
TEST_CASE("However much is needed, no more than the limit is held or being read")
{
    contents_cache cache;
    cache.setLimit(8 * entryBytes);
    for (std::size_t item = 0; item < 100; ++item)
        cache.offer({ "b", item }, contentsOf());
    CHECK(cache.held() <= cache.limit());
    std::size_t done = 0;
    for (int pass = 0; pass < 200 && done < 100; ++pass) {
        for (const std::size_t item : needAll(cache, done, 99))
            cache.add({ "b", item }, contentsOf());
        CHECK(cache.held() <= cache.limit());
        while (done < 100 && cache.find({ "b", done }))
            cache.drop({ "b", done++ });
    }
    CHECK(done == 100);
    CHECK(cache.held() == 0);
}

TEST_CASE("Contents that are needed next take the room of those that are needed later")
{
    contents_cache cache;
    cache.setLimit(4 * entryBytes);
    for (std::size_t item = 10; item < 14; ++item)
        cache.offer({ "b", item }, contentsOf());
    CHECK(needAll(cache, 0, 13) == std::vector<std::size_t> { 0, 1, 2, 3 });
}

TEST_CASE("Contents that are being sent are kept until they are sent")
{
    contents_cache cache;
    cache.setLimit(2 * entryBytes);
    cache.offer({ "b", 0 }, contentsOf());
    cache.offer({ "b", 1 }, contentsOf());
    {
        const item_contents sent = *cache.find({ "b", 0 });
        const item_contents sentToo = *cache.find({ "b", 1 });
        CHECK(needAll(cache, 2, 2).empty());
    }
    CHECK(needAll(cache, 2, 2) == std::vector<std::size_t> { 2 });
}

TEST_CASE("An item larger than the limit is read once nothing else is there")
{
    contents_cache cache;
    cache.setLimit(2 * entryBytes);
    cache.offer({ "b", 5 }, contentsOf());
    cache.setLargestItem(9 * entryBytes);
    cache.beginPass();
    cache.need({ "b", 0 }, 10 * entryBytes, contents_use::Run);
    cache.endPass({});
    CHECK(cache.takeReads().empty());
    cache.setLargestItem(10 * entryBytes);
    cache.beginPass();
    CHECK_FALSE(cache.need({ "b", 0 }, 10 * entryBytes, contents_use::Run));
    cache.need({ "b", 5 }, bodyBytes, contents_use::Run);
    cache.endPass({});
    CHECK(numbersOf(cache.takeReads()) == std::vector<std::size_t> { 0 });
    cache.add({ "b", 0 }, contentsOf(10 * entryBytes));
    CHECK(cache.find({ "b", 0 }));
}

TEST_CASE("Contents for reward calls are read before those for runs, and have room of their own")
{
    contents_cache cache;
    cache.setLimit(4 * entryBytes);
    cache.beginPass();
    for (std::size_t item = 0; item < 10; ++item)
        cache.need({ "b", item }, bodyBytes, contents_use::Run);
    cache.need({ "b", 20 }, bodyBytes, contents_use::Reward);
    cache.endPass({});
    CHECK(numbersOf(cache.takeReads()) == std::vector<std::size_t> { 20, 0, 1, 2 });
}

TEST_CASE("Contents that could not be read are read again after a pause")
{
    contents_cache cache;
    CHECK(needAll(cache, 0, 0) == std::vector<std::size_t> { 0 });
    CHECK(needAll(cache, 0, 0).empty());
    cache.noteUnread({ "b", 0 }, instant(100ms));
    CHECK(needAll(cache, 0, 0, instant(200ms)).empty());
    CHECK(needAll(cache, 0, 0, instant(301ms)) == std::vector<std::size_t> { 0 });
}
