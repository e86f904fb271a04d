#include <platform/base64.h>
#include <platform/recordframe.h>
#include <platform/recordreader.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;
using namespace ragwortreach::platform;

namespace {

std::string number8(std::uint64_t number)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>((number >> shift) & 0xff);
    return bytes;
}

}

TEST_CASE("A read returns the records as they were appended")
{
    REQUIRE(rc::check([](const std::vector<std::pair<std::string, std::string>>& pairs) {
        std::vector<keyed_record> records;
        for (const std::pair<std::string, std::string>& pair : pairs) {
            std::optional<std::string> value;
            if (!pair.second.empty())
                value = pair.second;
            records.push_back({ pair.first.substr(0, 255), value, 40 + records.size() });
        }
        const std::string body = number8(77) + number8(12) + encodeRecords(records);
        const std::optional<decoded_read> read = decodeRead(body, 40);
        RC_ASSERT(read);
        RC_ASSERT(read->end == 77U);
        RC_ASSERT(read->firstRetained == 12U);
        RC_ASSERT(read->records.size() == records.size());
        for (std::size_t index = 0; index < records.size(); ++index) {
            RC_ASSERT(read->records[index].key == records[index].key);
            RC_ASSERT(read->records[index].value == records[index].value);
            RC_ASSERT(read->records[index].offset == records[index].offset);
        }
    }));
}

TEST_CASE("An answer that arrives in pieces gives the same records, whatever the pieces")
{
    REQUIRE(rc::check([](const std::vector<std::string>& values, const std::vector<std::uint8_t>& pieces) {
        std::vector<keyed_record> records;
        records.reserve(values.size());
        for (const std::string& value : values)
            records.push_back({ "key", value.empty() ? std::nullopt : std::optional<std::string>(value), 7 + records.size() });
        const std::string body = number8(99) + number8(3) + encodeRecords(records);
        record_reader reader(7, body.size());
        std::size_t position = 0;
        for (std::size_t index = 0; position < body.size(); ++index) {
            const std::size_t size = pieces.empty() ? 1 : 1 + pieces[index % pieces.size()];
            RC_ASSERT(reader.end().has_value() == (position >= 16));
            reader.add(std::string_view(body).substr(position, size));
            position += size;
        }
        RC_ASSERT(reader.isComplete());
        RC_ASSERT(reader.end() == 99U);
        RC_ASSERT(reader.firstRetained() == 3U);
        RC_ASSERT(!reader.oversized());
        RC_ASSERT(reader.records().size() == records.size());
        for (std::size_t index = 0; index < records.size(); ++index) {
            RC_ASSERT(reader.records()[index].value == records[index].value);
            RC_ASSERT(reader.records()[index].offset == records[index].offset);
        }
    }));
}

TEST_CASE("A record that is larger than allowed is named by its first bytes, and the records before it are kept")
{
    const std::vector<keyed_record> records { { "first", "1", 5 }, { "config", std::string(1000, 'c'), 6 } };
    const std::string body = number8(8) + number8(0) + encodeRecords(records);
    record_reader reader(5, 1000);
    std::size_t taken = 0;
    for (; taken < body.size() && !reader.oversized(); ++taken)
        reader.add(std::string_view(body).substr(taken, 1));
    REQUIRE(reader.oversized());
    CHECK(taken < 60);
    CHECK(reader.oversized()->key == "config");
    CHECK(reader.oversized()->offset == 6);
    CHECK(reader.oversized()->bytes == 1007);
    CHECK(reader.records().size() == 1);
    CHECK(reader.end() == 8U);
}

TEST_CASE("A truncated answer to a read is rejected")
{
    const std::vector<keyed_record> records { { "key", "value", 0 } };
    const std::string body = number8(1) + number8(0) + encodeRecords(records);
    REQUIRE(decodeRead(body, 0));
    for (std::size_t size = 0; size < body.size(); ++size) {
        if (size != 16)
            CHECK_FALSE(decodeRead(std::string_view(body).substr(0, size), 0));
    }
}

TEST_CASE("Only valid base64 with padding is decoded")
{
    CHECK(decodeBase64("") == "");
    CHECK(decodeBase64("cGlsbG93") == "pillow");
    CHECK(decodeBase64("bGFjZQ==") == "lace");
    for (const char* malformed : { "bGFjZQ", "bGFj!Q==", "bGFjZQ=a" })
        CHECK_FALSE(decodeBase64(malformed));
    REQUIRE(rc::check([](const std::string& bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); }));
}
