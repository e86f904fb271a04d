#include "scriptedenvironment.h"

#include <commandline/commandline.h>

#include <catch2/catch.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

using namespace ragwortreach;

namespace {

struct command_row {
    const char* name;
    std::vector<std::string> positionalArguments;
    exit_code code;
    const char* output;
    const char* errors;
};

const command_row commandRows[] = {
    { "no command", {}, exit_code::Usage, "", "A command is missing.\n'ragwortreach --help' lists" },
    { "unknown command", { "catalog" }, exit_code::Usage, "", "The command 'catalog' is not known." },
    { "unknown subcommand", { "catalogue", "drop" }, exit_code::Usage, "", "The command 'catalogue drop' is not known." },
    { "argument missing", { "catalogue", "apply" }, exit_code::Usage, "", "The command 'catalogue apply' needs an argument." },
    { "excess argument", { "status", "now" }, exit_code::Usage, "", "The argument 'now' is unexpected; remove it." },
    { "file missing", { "catalogue", "check", "/nonexistent" }, exit_code::Usage, "", "The file '/nonexistent' cannot be read" },
    { "bad name", { "catalogue", "get", "a/b" }, exit_code::Usage, "", "The name 'a/b' is not a valid entry name" },
    { "list", { "catalogue", "get" }, exit_code::Ok, "ENTRY  REVISION  CLASS     KIND     OWNER      UPSTREAM\nshop   3         customer  service  pitsinurk  bobbin-shop\n", "" },
    { "one entry", { "catalogue", "get", "shop" }, exit_code::Ok, "\"revision\": 3", "" },
    { "unknown entry", { "catalogue", "get", "desk" }, exit_code::Rejected, "", "The catalogue has no entry 'desk'" },
    { "daemon unreachable", { "catalogue", "history", "desk" }, exit_code::Unreachable, "", "The daemon at a did not answer: nothing listens." },
    { "history", { "catalogue", "history", "shop" }, exit_code::Ok, "offset 4: mart made revision 1 (record r1)\n  + class: \"customer\"\n", "" },
    { "history with a rejection", { "catalogue", "history", "shop" }, exit_code::Ok, "offset 6: mari was rejected on revision 0 (record r2): It exists.\n  - limits.queue: 5\n  + limits.queue: 6\n", "" },
    { "history of an unknown entry", { "catalogue", "history", "none" }, exit_code::Rejected, "", "The log holds no edit of an entry 'none'" },
    { "status", { "status" }, exit_code::Ok, "v1 in d, incarnation 2, draining, catalogue at position 7\n\nVM  DATA CENTRE  STATE", "" },
    { "upstreams", { "status" }, exit_code::Ok, "pattern-llm  llm-a1  d            ready  3          1.8\n", "" },
};

void prepare(scripted_environment& script)
{
    const std::string item = R"({"entry":"shop","revision":3,"body":)" + entryBody(5) + '}';
    script.addAnswer("GET a /v1/catalogue", 200, R"({"position":9,"entries":[)" + item + "]}");
    script.addAnswer("GET a /v1/catalogue/shop", 200, item);
    script.addAnswer("GET a /v1/catalogue/desk", 404, R"({"title":"UnknownEntry","code":101,"detail":"d","run":"no"})");
    script.addAnswer("GET a /v1/catalogue/shop/history", 200, R"({"edits":[{"offset":4,"record":"r1","operator":"mart","replaces":0,"revision":1,"code":0,"detail":"","body":)" + entryBody(5) + R"(},{"offset":6,"record":"r2","operator":"mari","replaces":0,"revision":0,"code":405,"detail":"It exists.","body":)" + entryBody(6) + "}]}");
    script.addAnswer("GET a /v1/catalogue/none/history", 200, R"({"edits":[]})");
    script.addAnswer("GET a /status", 200, R"({"vm":"v1","data_centre":"d","incarnation":2,"draining":true,"catalogue_position":7,"members":[{"vm":"v2","state":"live"}],
        "upstreams":[{"upstream":"pattern-llm","vm":"llm-a1","data_centre":"d","state":"ready","in_flight":3,"weights":{"base":1,"adapter":8}}],"batches":[{"batch":"b1","owner_vm":"v2","remaining":4}]})");
}

struct bad_line_row {
    std::vector<const char*> arguments;
    const char* errors;
};

}

TEST_CASE("Commands return their exit code and write a message")
{
    for (const command_row& row : commandRows) {
        CAPTURE(row.name);
        scripted_environment script;
        prepare(script);
        CHECK(runCommand(script.environment, row.positionalArguments, {}) == row.code);
        CHECK_THAT(script.output.str(), Catch::Contains(row.output));
        CHECK_THAT(script.errors.str(), Catch::Contains(row.errors));
        CHECK(script.errors.str().empty() == (row.code == exit_code::Ok));
    }
}

TEST_CASE("Invalid flags give the usage exit code before anything is sent")
{
    const bad_line_row rows[] = {
        { { "r", "--no_such", "status" }, "The flag '--no_such' is not known" },
        { { "r", "status", "--output=xml" }, "The flag '--output' has the value 'xml'; expected text or json." },
        { { "r", "status", "--timeout_ms=soon" }, "The flag '--timeout_ms' has the value 'soon'; expected one of type int32." },
        { { "r", "status", "--timeout_ms=0" }, "The flag '--timeout_ms' expects a time above 0" },
        { { "r", "status", "--server" }, "The flag '--server' has no value" },
        { { "r", "load" }, "There is no load to generate" },
        { { "r", "load", "--groups=0" }, "The flag '--groups' has the value 0; expected at least 1." },
        { { "r", "load", "--callers=here" }, "The flag '--callers' has the value 'here'; expected IP numbers with ports" },
        { { "r", "load", "--customers=a:b:1:c" }, "expected ENTRY:KIND:RATE:OWNER" },
        { { "r", "load", "--customers=a:model:fast:c" }, "expected a RATE above 0" },
        { { "r", "load", "--trainers=a:b" }, "expected ENTRY:NAME:OWNER:MODEL" },
        { { "r", "timeline", "--since=yesterday" }, "The value 'yesterday' of '--since' is not a time" },
    };
    for (const bad_line_row& row : rows) {
        const gflags::FlagSaver saver;
        CAPTURE(row.errors);
        std::ostringstream output;
        std::ostringstream errors;
        CHECK(runCommandLine(row.arguments, output, errors) == exit_code::Usage);
        CHECK_THAT(errors.str(), Catch::Contains(row.errors));
    }
}

TEST_CASE("Help lists the commands and the flags")
{
    const gflags::FlagSaver saver;
    const char* const arguments[] = { "r", "--help" };
    std::ostringstream output;
    std::ostringstream errors;
    CHECK(runCommandLine(arguments, output, errors) == exit_code::Ok);
    CHECK_THAT(output.str(), Catch::Contains("catalogue history ENTRY") && Catch::Contains("--server  Admin address of the daemon to ask (string, default '127.0.0.1:8081')") && !Catch::Contains("--flagfile"));
}

TEST_CASE("Listings as JSON can be parsed")
{
    const std::vector<std::vector<std::string>> lines { { "catalogue", "get" }, { "catalogue", "get", "shop" }, { "catalogue", "history", "shop" }, { "status" } };
    for (const std::vector<std::string>& positionalArguments : lines) {
        scripted_environment script;
        prepare(script);
        script.environment.format = output_format::Json;
        CHECK(runCommand(script.environment, positionalArguments, {}) == exit_code::Ok);
        CHECK(nlohmann::json::parse(script.output.str()).is_object());
    }
}
