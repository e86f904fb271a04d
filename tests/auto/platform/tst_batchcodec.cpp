#include <platform/batchcodec.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;
using namespace ragwortreach::platform;

namespace {

struct submission_case {
    const char* name;
    const char* body;
    const char* detail;
};

const submission_case badSubmissions[] = {
    { "not JSON", "{", "not a JSON object" },
    { "no list", R"({"items":3})", "not a JSON object" },
    { "no items", R"({"items":[]})", "no items" },
    { "item twice", R"({"items":[{"id":"a","path":"/1"},{"id":"a","path":"/2"}]})", "twice" },
    { "body not base64", R"({"items":[{"id":"a","path":"/1","body":"?"}]})", "base64" },
    { "item without a path", R"({"items":[{"id":"a"}]})", "another type" },
    { "id of another type", R"({"items":[{"id":7,"path":"/1"}]})", "another type" },
};

}

TEST_CASE("A submission is decoded, also with fields left out or null")
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

TEST_CASE("A submission that cannot be taken is named with its fault")
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

TEST_CASE("Results are listed from a position on, within the size of an answer")
{
    batch_ledger ledger;
    batch_submission submission;
    submission.id = "b";
    for (int number = 0; number < 5; ++number)
        submission.items.push_back({ std::to_string(number), "/", {}, "", 0, 0, "g" });
    ledger.apply(batch_accepted { submission }, {});
    const std::string large(400000, 'x');
    for (int number = 0; number < 4; ++number)
        ledger.apply(item_finished { "b", std::to_string(number), number != 3, { large, 1, { 2 } } }, {});
    const nlohmann::json first = nlohmann::json::parse(encodeResults(*ledger.find("b"), 0));
    CHECK(first["total"] == 5);
    CHECK(first["results"].size() == 2);
    CHECK(first["next"] == 2);
    CHECK(first["results"][0]["weight_versions"] == nlohmann::json::array({ 2 }));
    const nlohmann::json rest = nlohmann::json::parse(encodeResults(*ledger.find("b"), 3));
    CHECK(rest["results"][0]["state"] == "abandoned");
    CHECK(rest["next"] == 4);
    CHECK(nlohmann::json::parse(encodeResults(*ledger.find("b"), 4))["results"].empty());
}
