#include <platform/batchcodec.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;
using namespace ragwortreach::platform;

namespace {

struct submission_case {
    const char* name;
    std::string body;
    const char* detail;
};

/// Submission of one item with \a headers.
std::string itemWithHeaders(const std::string& headers)
{
    return R"({"items":[{"id":"a","path":"/1","headers":)" + headers + "}]}";
}

const submission_case badSubmissions[] = {
    { "not JSON", "{", "not a JSON object" },
    { "no list", R"({"items":3})", "not a JSON object" },
    { "no items", R"({"items":[]})", "no items" },
    { "item twice", R"({"items":[{"id":"a","path":"/1"},{"id":"a","path":"/2"}]})", "twice" },
    { "body not base64", R"({"items":[{"id":"a","path":"/1","body":"?"}]})", "base64" },
    { "item without a path", R"({"items":[{"id":"a"}]})", "another type" },
    { "reward call of another type", R"({"items":[{"id":"a","path":"/1","scorer":7}]})", "The field scorer of the item a" },
    { "reward call without an id", R"({"items":[{"id":"a","path":"/1","scorer":{"host":"h","path":"/s"}}]})", "The field id" },
    { "reward call with a host of another type", R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":7,"path":"/s"}}]})", "The field host" },
    { "reward call without a path", R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h"}}]})", "The field path" },
    { "reward call whose body is not base64", R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h","path":"/s","body":"?"}}]})", "The field body" },
    { "an item that is a number", R"({"items":[7]})", "another type" },
    { "an item that is a list", R"({"items":[["id"]]})", "another type" },
    { "a second list of items that is none", R"({"items":[{"id":"a","path":"/1"}],"items":3})", "not a JSON object" },
    { "a list behind a faulty item that does not end", R"({"items":[{"id":"a"},)", "not a JSON object" },
    { "id of another type", R"({"items":[{"id":7,"path":"/1"}]})", "another type" },
    { "headers nested very deeply", itemWithHeaders(std::string(131000, '[') + std::string(131000, ']')), "not a JSON object" },
    { "header value that no request can have", itemWithHeaders(R"({"Long":")" + std::string(70000, 'x') + "\"}"), "too large" },
    { "headers too large together", itemWithHeaders(R"({"A":")" + std::string(40000, 'x') + R"(","B":")" + std::string(40000, 'x') + "\"}"), "too large" },
    { "header value with a line break", itemWithHeaders(R"({"A":"x\r\nHost: other"})"), "line break" },
    { "header name with a colon", itemWithHeaders(R"({"A:b":"x"})"), "no token" },
    { "path with a line break", R"({"items":[{"id":"a","path":"/1 HTTP/1.1\r\n\r\nGET /"}]})", "path is empty or has a blank" },
    { "id with a line break", R"({"items":[{"id":"a\r\n","path":"/1"}]})", "line break" },
    { "reward call with a line break", R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h\r\n","path":"/s"}}]})", "line break" },
};

}

TEST_CASE("A submission is decoded, also with fields that are missing or null")
{
    std::string detail;
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"train_step":7,"model_id":"lace","min_version":6,"group_count":1,"items":[
            {"id":"a","path":"/1","headers":{"Token-Usage":"5,6","length-hint":"31","Odd":null},"body":"bGFjZQ==","token_count":9,"group_id":"g"},
            {"id":"b","path":"/2","body":null,"group_id":null}]})",
        detail);
    REQUIRE(batch);
    CHECK(batch->minVersion == 6);
    CHECK(batch->wantedGroups == 1);
    CHECK(batch->items[0].body == "lace");
    CHECK(batch->items[0].headers.size() == 2);
    CHECK(batch->items[0].expectedTokens == 31);
    CHECK(batch->items[1].expectedTokens == 0);
    CHECK(batch->items[1].group == "b");
}

TEST_CASE("Fields that a submission does not have are ignored, whatever they hold")
{
    std::string detail;
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"note":[0,{"items":[{"id":"x"}]},[[]]],"model_id":"lace","items":[
            {"id":"a","note":{"headers":{"A":"x"}},"path":"/1","headers":{"A":"1","B":{"C":"2"}},"list":[[0],0]}],"more":{"items":[]}})",
        detail);
    REQUIRE(batch);
    CHECK(batch->model == "lace");
    REQUIRE(batch->items.size() == 1);
    CHECK(batch->items[0].path == "/1");
    REQUIRE(batch->items[0].headers.size() == 1);
    CHECK(batch->items[0].headers[0].value == "1");
}

// Nested headers and header values over 64 KB were accepted, and ended the daemon that read or ran the item.
TEST_CASE("The fault of an invalid submission is described")
{
    for (const submission_case& row : badSubmissions) {
        DYNAMIC_SECTION(row.name)
        {
            std::string detail;
            CHECK_FALSE(decodeSubmission(row.body, detail));
            CHECK_THAT(detail, Catch::Contains(row.detail));
        }
    }
}

TEST_CASE("A reward call is decoded with its item")
{
    std::string detail;
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h","path":"/s","body":"bGFjZQ=="}},{"id":"b","path":"/1","scorer":null}]})", detail);
    REQUIRE(batch);
    CHECK(batch->items[0].reward == reward_call { "s", "h", "/s", "lace" });
    CHECK_FALSE(batch->items[1].reward);
}

TEST_CASE("Results are encoded with their states, texts, versions and rewards")
{
    const std::vector<std::uint64_t> versions { 2, 3 };
    const listed_result results[] = { { "a", true, "one\ntwo", versions, "signed" }, { "b", false, "", {} } };
    const nlohmann::json answer = nlohmann::json::parse(encodeResults(5, 1, results));
    CHECK(answer["total"] == 5);
    CHECK(answer["next"] == 3);
    CHECK(answer["results"][0]["id"] == "a");
    CHECK(answer["results"][0]["state"] == "completed");
    CHECK(answer["results"][0]["output"] == "one\ntwo");
    CHECK(answer["results"][0]["weight_versions"] == nlohmann::json::array({ 2, 3 }));
    CHECK(answer["results"][0]["score"] == "signed");
    CHECK(answer["results"][1]["state"] == "abandoned");
    CHECK_FALSE(answer["results"][1].contains("score"));
    CHECK(nlohmann::json::parse(encodeResults(5, 4, {}))["results"].empty());
}
