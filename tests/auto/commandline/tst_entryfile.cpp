#include "scriptedenvironment.h"

#include <commandline/entrydiff.h>
#include <commandline/entryfile.h>

#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

struct bad_file_row {
    const char* name;
    std::string text;
    const char* message;
};

const bad_file_row badFiles[] = {
    { "malformed", "{", "The file is not JSON in UTF-8" },
    { "no object", "[1]", "An item is not a JSON object" },
    { "unknown key", R"({"entry":"a","bodi":{}})", "The key 'bodi' is not known" },
    { "no name", R"({"body":{}})", "The key 'entry' is missing or not a valid name" },
    { "bad name", R"({"entry":"a/b","body":{}})", "The key 'entry' is missing or not a valid name" },
    { "bad revision", R"({"entry":"a","revision":-1,"body":{}})", "The key 'revision' has the value -1" },
    { "bad action", R"({"entry":"a","action":"drop"})", "The key 'action' has the value \"drop\"" },
    { "no body", R"({"entry":"a"})", "The key 'body' is missing" },
    { "deletion with a body", R"({"entry":"a","action":"delete","body":{}})", "A deletion has no 'body'" },
    { "bad body", R"({"entry":"a","body":{"owner":"o"}})", "The body of entry 'a' is invalid" },
    { "entry twice", R"([{"entry":"a","action":"delete"},{"entry":"a","action":"delete"}])", "The entry 'a' occurs twice" },
};

}

TEST_CASE("Invalid files are rejected with a message")
{
    for (const bad_file_row& row : badFiles) {
        CAPTURE(row.name);
        const std::variant<std::vector<entry_file_item>, command_failure> file = parseEntryFile("f.json", row.text);
        const command_failure* failure = std::get_if<command_failure>(&file);
        REQUIRE(failure != nullptr);
        CHECK(failure->code == exit_code::Rejected);
        CHECK_THAT(failure->message, Catch::StartsWith("f.json: ") && Catch::Contains(row.message));
    }
}

TEST_CASE("A file holds one entry or several")
{
    const std::string one = R"({"entry":"a","revision":3,"body":)" + entryBody(5) + "}";
    const std::variant<std::vector<entry_file_item>, command_failure> file
        = parseEntryFile("f.json", '[' + one + R"(,{"entry":"b","action":"delete"}])");
    const std::vector<entry_file_item>& items = std::get<std::vector<entry_file_item>>(file);
    REQUIRE(items.size() == 2);
    CHECK(items[0].revision == 3u);
    CHECK(canonicalBody(items[0].body) == canonicalBody(entryBody(5)));
    CHECK(items[1].entry == "b");
    CHECK(items[1].body.empty());
}

TEST_CASE("Differences name the paths of the keys")
{
    CHECK(diffBodies(R"({"a":1,"b":{"c":2,"d":3}})", R"({"a":1,"b":{"c":4},"e":[1]})")
        == std::vector<std::string> { "- b.c: 2", "+ b.c: 4", "- b.d: 3", "+ e: [1]" });
    CHECK(diffBodies("", R"({"a":1})") == std::vector<std::string> { "+ a: 1" });
}
