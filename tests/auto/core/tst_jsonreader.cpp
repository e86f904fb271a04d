#include <core/jsonreader.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;
using nlohmann::json;

namespace {

std::string nested(const std::string& open, const std::string& close, int levels)
{
    std::string text;
    for (int level = 0; level < levels; ++level)
        text += open;
    text += "1";
    for (int level = 0; level < levels; ++level)
        text += close;
    return text;
}

struct text_case {
    const char* name;
    std::string text;
    bool isAccepted;
};

const text_case textCases[] = {
    { "an object", R"({"a":[1,{"b":null}]})", true },
    { "as deep as allowed", nested("[", "]", maxJsonDepth), true },
    { "one level deeper", nested("[", "]", maxJsonDepth + 1), false },
    { "very deep lists", nested("[", "]", 200000), false },
    { "very deep objects", nested(R"({"a":)", "}", 100000), false },
    { "very deep, not closed", std::string(200000, '['), false },
    { "very deep in a field beside others", R"({"a":1,"deep":)" + nested("[", "]", 200000) + R"(,"b":2})", false },
    { "no JSON", "{", false },
    { "no bytes", "", false },
    { "a number beyond all ranges", "1e999", false },
};

struct number_case {
    const char* text;
    bool isAccepted;
};

const number_case numberCases[] = {
    { "0", true },
    { "65535", true },
    { "65536", false },
    { "18446744073709551615", false },
    { "-1", false },
    { "1.5", false },
    { "1e3", false },
    { "1e300", false },
    { "\"7\"", false },
    { "null", false },
    { "true", false },
    { "[7]", false },
};

}

// A deeply nested value ended the process when it was copied: its copy needs stack for each level.
TEST_CASE("Nested JSON is accepted up to a depth, and what is accepted can be copied, compared and printed")
{
    for (const text_case& row : textCases) {
        DYNAMIC_SECTION(row.name)
        {
            const json value = parseJson(row.text);
            CHECK(value.is_discarded() != row.isAccepted);
            if (!row.isAccepted)
                continue;
            json copy;
            copy = value;
            CHECK(copy == value);
            CHECK(json::parse(copy.dump()) == value);
        }
    }
}

// A number that is too large for its type was converted, which has no defined result.
TEST_CASE("A whole number is read only in its range")
{
    for (const number_case& row : numberCases) {
        DYNAMIC_SECTION(row.text)
        {
            const json value = json::parse(row.text);
            if (row.isAccepted)
                CHECK(wholeNumber<std::uint32_t>(value, 65535) == value.get<std::uint64_t>());
            else
                CHECK_THROWS_AS(wholeNumber<std::uint32_t>(value, 65535), json::exception);
        }
    }
}

TEST_CASE("Optional fields of another type count as missing")
{
    const json object = parseJson(R"({"text":"t","number":7,"negative":-7})");
    CHECK(optionalText(object, "text") == "t");
    CHECK(optionalText(object, "number").empty());
    CHECK(optionalText(json(3), "text").empty());
    CHECK(optionalNumber(object, "number") == 7);
    CHECK(optionalNumber(object, "negative") == 0);
    CHECK(optionalNumber(object, "other") == 0);
    CHECK(wholeNumberAt<std::uint32_t>(object, "number", 1) == 7);
    CHECK(wholeNumberAt<std::uint32_t>(object, "other", 1) == 1);
    CHECK_THROWS_AS(wholeNumberAt<std::uint32_t>(object, "text", 1), json::exception);
}
