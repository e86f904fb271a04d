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
    { "an item that is null", R"({"items":[null]})", "another type" },
    { "reward call that is true", R"({"items":[{"id":"a","path":"/1","scorer":true}]})", "The field scorer of the item a" },
    { "reward call that is a list", R"({"items":[{"id":"a","path":"/1","scorer":["id","host","path"]}]})", "The field scorer of the item a" },
    { "reward call whose last id is none", R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h","path":"/s","id":7}}]})", "The field id" },
    { "bytes behind the object", R"({"items":[{"id":"a","path":"/1"}]} x)", "not a JSON object" },
    { "a zero byte behind the object", std::string(R"({"items":[{"id":"a","path":"/1"}]})") + '\0' + "x", "not a JSON object" },
    { "text that is not UTF-8", "{\"items\":[{\"id\":\"a\",\"path\":\"/1\",\"group_id\":\"\xff\"}]}", "not a JSON object" },
    { "lists nested without end", std::string(100000, '['), "not a JSON object" },
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
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"train_step":7,"model_id":"lace","min_version":6,"group_count":1,"items":[
            {"id":"a","path":"/1","headers":{"Token-Usage":"5,6","length-hint":"31","Odd":null},"body":"bGFjZQ==","token_count":9,"group_id":"g"},
            {"id":"b","path":"/2","body":null,"group_id":null}]})")
                                                      .batch;
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
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"note":[0,{"items":[{"id":"x"}]},[[]]],"model_id":"lace","items":[
            {"id":"a","note":{"headers":{"A":"x"}},"path":"/1","headers":{"A":"1","B":{"C":"2"}},"list":[[0],0]}],"more":{"items":[]}})")
                                                      .batch;
    REQUIRE(batch);
    CHECK(batch->model == "lace");
    REQUIRE(batch->items.size() == 1);
    CHECK(batch->items[0].path == "/1");
    REQUIRE(batch->items[0].headers.size() == 1);
    CHECK(batch->items[0].headers[0].value == "1");
}

TEST_CASE("The last one counts of several fields with the same name")
{
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"model_id":"lace","items":[{"id":"x","path":"/0"}],"model_id":"linen","train_step":3,"train_step":null,"items":[
            {"id":"a","id":"b","path":"/1","headers":{"A":"1","B":"1"},"headers":{"A":"2","A":"3","C":"4","C":null},"token_count":1,"token_count":2.5}]})")
                                                      .batch;
    REQUIRE(batch);
    CHECK(batch->model == "linen");
    CHECK(batch->trainStep == 0);
    REQUIRE(batch->items.size() == 1);
    CHECK(batch->items[0].id == "b");
    CHECK(batch->items[0].tokens == 0);
    REQUIRE(batch->items[0].headers.size() == 1);
    CHECK(batch->items[0].headers[0].value == "3");
}

TEST_CASE("Escaped text, a byte order mark and headers that are a list are read as before")
{
    const std::optional<batch_submission> batch = decodeSubmission("\xef\xbb\xbf"
                                                                   R"({"items":[{"id":"\u0061\/\u00e9","path":"/1","headers":["A","B"],"body":"bGFj\u005aQ=="}]})")
                                                      .batch;
    REQUIRE(batch);
    CHECK(batch->items[0].id == "a/\xc3\xa9");
    CHECK(batch->items[0].headers.empty());
    CHECK(batch->items[0].body == "lace");
}

// A body of 19 MB with 600,000 small items took 374 MB before it was refused.
TEST_CASE("Items beyond the limit are counted and not kept")
{
    std::string body = R"({"items":[)";
    constexpr std::size_t items = 1000;
    for (std::size_t number = 0; number < items; ++number)
        body += (number == 0 ? "" : ",") + std::string(R"({"id":")") + std::to_string(number) + R"(","path":"/1"})";
    body += "]}";
    const std::size_t needed = decodeSubmission(body, 100).excessiveBytes;
    CHECK(needed > items * 48);
    CHECK_FALSE(decodeSubmission(body, needed - 1).batch);
    CHECK(decodeSubmission(body, needed).batch);
}

// Nested headers and header values over 64 KB were accepted, and ended the daemon that read or ran the item.
TEST_CASE("The fault of an invalid submission is described")
{
    for (const submission_case& row : badSubmissions) {
        DYNAMIC_SECTION(row.name)
        {
            const decoded_submission decoded = decodeSubmission(row.body);
            CHECK_FALSE(decoded.batch);
            CHECK_THAT(decoded.detail, Catch::Contains(row.detail));
        }
    }
}

TEST_CASE("A reward call is decoded with its item")
{
    const std::optional<batch_submission> batch = decodeSubmission(
        R"({"items":[{"id":"a","path":"/1","scorer":{"id":"s","host":"h","path":"/s","body":"bGFjZQ=="}},{"id":"b","path":"/1","scorer":null}]})")
                                                      .batch;
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
