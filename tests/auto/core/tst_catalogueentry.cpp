#include <core/catalogueedit.h>
#include <core/catalogueentry.h>
#include <core/catalogueschema.h>
#include <core/resultcode.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

using namespace ragwortreach;

namespace {

const std::string validBody = R"({"owner":"pitsinurk","class":"training","kind":"model","upstream":"pattern-llm","scorer":"lace-scorer",
"due_ms":2000,"idempotent":true,"limits":{"requests_per_second":500,"in_flight":200,"queue":400},
"staleness":{"versions":2,"age_ms":600000},"look_ahead":"busy","log_outage":"run_once"})";

struct error_case {
    /// JSON merge patch on validBody.
    const char* patch;
    const char* expected;
};

const error_case errorCases[] = {
    { R"({"colour":"red"})", R"(colour is "red", but this key is not known; expected one of: owner, class)" },
    { R"({"limits":{"queues":4}})", R"(limits.queues is 4, but this key is not known; expected one of: requests_per_second, in_flight, queue)" },
    { R"({"owner":null})", "owner is missing, expected a value" },
    { R"({"owner":"a b"})", R"(owner is "a b", expected pattern)" },
    { R"({"owner":7})", R"(owner is 7, expected type "string")" },
    { R"({"class":"vip"})", R"(class is "vip", expected enum ["customer","training"])" },
    { R"({"due_ms":0})", "due_ms is 0, expected minimum 1" },
    { R"({"due_ms":99999999999999999999})", "due_ms is 100000000000000000000.0, expected type \"integer\"" },
    { R"({"limits":{"queue":100001}})", "limits.queue is 100001, expected maximum 100000" },
    { R"({"limits":{"in_flight":-1}})", "limits.in_flight is -1, expected minimum 1" },
    { R"({"staleness":{"versions":1.5}})", "staleness.versions is 1.5, expected type \"integer\"" },
    { R"({"staleness":{"versions":null}})", "staleness.versions is missing, expected a value" },
    { R"({"staleness":{"age_ms":0}})", "staleness.age_ms is 0, expected minimum 1" },
    { R"({"staleness":null})", "staleness is missing, expected an object with the key versions because class is \"training\"" },
    { R"({"kind":"service"})", "kind is \"service\", expected \"model\" because class is \"training\"" },
};

struct edit_case {
    const char* text;
    const char* expected;
};

const edit_case editCases[] = {
    { "[", "the edit is not an object" },
    { R"({"schema":2,"entry":"a","replaces":0,"operator":"m","action":"delete"})", "schema is 2, expected 1" },
    { R"({"schema":1,"entry":"a b","replaces":0,"operator":"m","action":"delete"})", "entry is \"a b\", expected" },
    { R"({"schema":1,"entry":"a","replaces":-1,"operator":"m","action":"delete"})", "replaces is -1, expected a revision" },
    { R"({"schema":1,"entry":"a","replaces":0,"action":"delete"})", "operator is missing" },
    { R"({"schema":1,"entry":"a","replaces":0,"operator":"m","action":"drop"})", "action is \"drop\", expected" },
    { R"({"schema":1,"entry":"a","replaces":0,"operator":"m","action":"put"})", "body is missing" },
    { R"({"schema":1,"entry":"a","replaces":0,"operator":"m","action":"put","body":{}})", "owner is missing" },
};

}

TEST_CASE("The published schema of an entry is the built-in one")
{
    const char* sourceDir = std::getenv("RAGWORTREACH_SOURCE_DIR");
    REQUIRE(sourceDir != nullptr);
    std::ifstream file(std::string(sourceDir) + "/docs/catalogue.schema.json");
    std::stringstream page;
    page << file.rdbuf();
    CHECK(page.str() == catalogueSchema());
}

TEST_CASE("An entry is unchanged after a round trip through JSON")
{
    catalogue_entry entry;
    std::string detail;
    REQUIRE_FALSE(parseEntry(validBody, entry, detail));
    CHECK(entry.limits.queue == 400);
    CHECK(entry.staleness.age == std::chrono::minutes(10));
    CHECK(nlohmann::json::parse(toJson(entry)) == nlohmann::json::parse(validBody));
    catalogue_entry minimal;
    REQUIRE_FALSE(parseEntry(R"({"owner":"k","class":"customer","kind":"service","upstream":"booking-desk"})", minimal, detail));
    CHECK_FALSE(minimal.idempotent);
    catalogue_entry again;
    REQUIRE_FALSE(parseEntry(toJson(minimal), again, detail));
    CHECK(again == minimal);
}

TEST_CASE("An error of an entry names the key, its value and what was expected")
{
    for (const error_case& item : errorCases) {
        nlohmann::json body = nlohmann::json::parse(validBody);
        body.merge_patch(nlohmann::json::parse(item.patch));
        catalogue_entry entry;
        std::string detail;
        CHECK(parseEntry(body.dump(), entry, detail) == result_code::EditInvalid);
        CHECK_THAT(detail, Catch::StartsWith(item.expected));
        CHECK(entry == catalogue_entry());
    }
}

TEST_CASE("An error of an edit names the key, its value and what was expected")
{
    for (const edit_case& item : editCases) {
        catalogue_edit edit;
        std::string detail;
        CHECK(parseEdit(item.text, edit, detail) == result_code::EditInvalid);
        CHECK_THAT(detail, Catch::StartsWith(item.expected));
    }
    catalogue_edit edit;
    std::string detail;
    CHECK(parseEdit(std::string(15000, '['), edit, detail) == result_code::EditInvalid);
    CHECK(parseEdit(std::string(20000, ' '), edit, detail) == result_code::EditInvalid);
}
