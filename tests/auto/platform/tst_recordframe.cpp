#include <platform/base64.h>
#include <platform/recordframe.h>

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
