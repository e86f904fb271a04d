#include <wire/usagecodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ragwortreach;

TEST_CASE("Records of usage are decoded as they were encoded")
{
    const process_usage usage { { { 200, true, { { "guild", 3 }, { "weavers", 1 } } }, { 201, false, {} } } };
    const std::optional<usage_record> process = decodeUsageRecord(encodeUsageRecord(usage));
    REQUIRE(process);
    REQUIRE(std::holds_alternative<process_usage>(*process));
    CHECK(std::get<process_usage>(*process).windows == usage.windows);
    const std::optional<usage_record> report = decodeUsageRecord(encodeUsageRecord(usage_report { 200, { { "guild", 3 } } }));
    REQUIRE(report);
    CHECK(std::get<usage_report>(*report).window == 200);
    CHECK(std::get<usage_report>(*report).counts == usage_counts { { "guild", 3 } });
    const std::optional<usage_record> accepted = decodeUsageRecord(encodeUsageRecord(usage_accepted { 200 }));
    REQUIRE(accepted);
    CHECK(std::get<usage_accepted>(*accepted).window == 200);
}

TEST_CASE("Damaged records of usage are rejected or decoded, and an empty one is rejected")
{
    CHECK_FALSE(decodeUsageRecord(""));
    REQUIRE(rc::check([] {
        std::string bytes = encodeUsageRecord(usage_report { 200, { { "guild", 3 } } });
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        decodeUsageRecord(bytes);
    }));
}
