#include <net/endpoint.h>
#include <platform/storeclient.h>
#include <platform/storestandin.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

using namespace ragwortreach;
using namespace ragwortreach::Tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;

/// Client of a store that has records of one partition.
struct store_fixture {
    void put(const std::string& key, std::size_t bytes) { store.put("keyed.op", key, std::string(bytes, 'c')); }

    read_outcome read(const read_range& range)
    {
        std::optional<read_outcome> result;
        client.read({ "keyed.op", 0 }, range,
            { [&result](const read_outcome& outcome) { result = outcome; },
                [this](std::uint64_t end) { ends.push_back(end); } });
        while (!result)
            context.run_one();
        return *result;
    }

    /// Reads the page that begins with the large record.
    newest_outcome readNewest(std::size_t maxRecordBytes)
    {
        std::optional<newest_outcome> result;
        client.readNewest({ "keyed.op", 0 }, { "before", maxRecordBytes }, [&result](const newest_outcome& outcome) { result = outcome; });
        while (!result)
            context.run_one();
        return *result;
    }

    boost::asio::io_context context;
    store_standin store { context };
    http_client http { context };
    std::string address = store.addAddress();
    platform::store_client client { http, *parseEndpoint(address) };
    std::vector<std::uint64_t> ends;
};

/// A record of \c bytes that is read with \c maxRecordBytes.
struct record_case {
    std::size_t bytes;
    std::size_t maxRecordBytes;
    bool isRead;
};

const record_case recordCases[] = {
    { 1000, megabyte, true },
    { megabyte / 3, megabyte, true },
    { megabyte, 2 * megabyte, true },
    { 4 * megabyte, 5 * megabyte, true },
    { 4 * megabyte, megabyte, false },
    { 12 * megabyte, 5 * megabyte, false },
};

}

// A read failed as if the connection had broken when its first record was over half a megabyte larger than it had asked for.
TEST_CASE("A record larger than a read asked for was never read")
{
    for (const record_case& row : recordCases) {
        INFO(row.bytes << " bytes, " << row.maxRecordBytes << " allowed");
        store_fixture fixture;
        fixture.put("before", 10);
        fixture.put("config", row.bytes);
        fixture.put("after", 10);
        read_range range { 1, {}, megabyte / 16 };
        range.maxRecordBytes = row.maxRecordBytes;
        const read_outcome outcome = fixture.read(range);
        REQUIRE(outcome.status == read_status::Done);
        CHECK(outcome.end == 3);
        CHECK(outcome.oversized.has_value() == !row.isRead);
        if (row.isRead) {
            REQUIRE_FALSE(outcome.records.empty());
            CHECK(outcome.records.front().bytes() == 6 + row.bytes);
            CHECK(fixture.ends.front() == 3);
        } else {
            CHECK(outcome.records.empty());
            CHECK(outcome.oversized->key == "config");
            CHECK(outcome.oversized->offset == 1);
        }
        const newest_outcome page = fixture.readNewest(row.maxRecordBytes);
        CHECK(page.isDone == row.isRead);
        CHECK(page.isOversized == !row.isRead);
    }
}

TEST_CASE("A read from beyond the end tells the end and brings no record, whatever the records")
{
    store_fixture fixture;
    fixture.put("config", 4 * megabyte);
    const std::uint64_t before = fixture.store.readBytes(fixture.address);
    const read_outcome outcome = fixture.read({ std::uint64_t { 1 } << 40 });
    CHECK(outcome.status == read_status::Done);
    CHECK(outcome.end == 1);
    CHECK(outcome.records.empty());
    CHECK(fixture.store.readBytes(fixture.address) - before == 16);
}
