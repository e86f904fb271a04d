#include "scriptedenvironment.h"

#include <commandline/applycommand.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;

namespace {

const std::string readCall = "GET a /v1/catalogue/shop";
const std::string editCall = "POST a /v1/catalogue/edits";
const std::string historyCall = "GET a /v1/catalogue/shop/history";
const std::string confirmCall = "GET a /v1/catalogue/confirmations?offset=41";
const std::string accepted = R"({"accepted":true,"offset":41,"revision":4})";
const std::string allConfirmed = R"({"needed":42,"vms":[{"vm":"v1","data_centre":"d","position":42,"confirmed":true}]})";
const std::string oneMissing = R"({"needed":42,"vms":[{"vm":"v1","data_centre":"d","position":42,"confirmed":true},
    {"vm":"v2","data_centre":"e","position":40,"confirmed":false}]})";

std::string historyItem(const std::string& record, int code)
{
    return R"({"offset":41,"record":")" + record + R"(","operator":"mart","replaces":3,"revision":)" + (code == 0 ? "4" : "0")
        + R"(,"code":)" + std::to_string(code) + R"(,"detail":"It was first.","body":)" + entryBody(9) + '}';
}

struct reply_row {
    std::string call;
    int status;
    std::string body;
    result_code lost = result_code::Ok;
};

struct apply_row {
    const char* name;
    std::vector<reply_row> replies;
    exit_code code;
    std::vector<std::string> output;
    std::vector<std::string> errors;
    std::size_t edits = 1;
};

std::string problem(int code, const std::string& title, const std::string& rest)
{
    return R"({"type":"about:blank","code":)" + std::to_string(code) + R"(,"title":")" + title + "\"," + rest + '}';
}

const std::vector<apply_row> applyRows {
    { "accepted and in force", { { editCall, 200, accepted }, { confirmCall, 200, allConfirmed } }, exit_code::Ok,
        { "Accepted: entry 'shop' is at revision 4 (offset 41, record record-1).", "In force: all 1 VMs" }, {} },
    { "one VM confirms late", { { editCall, 200, accepted }, { confirmCall, 200, oneMissing }, { confirmCall, 200, allConfirmed } }, exit_code::Ok,
        { "In force" }, { "Not confirmed: v2 (e) is at position 40 of 42." } },
    { "one VM never confirms", { { editCall, 200, accepted }, { confirmCall, 200, oneMissing } }, exit_code::Unconfirmed,
        { "Accepted" }, { "Not confirmed: v2", "1 of 2 VMs have not confirmed it" } },
    { "no daemon answers the request for confirmations", { { editCall, 200, accepted } }, exit_code::Unconfirmed, { "Accepted" }, { "no daemon could say" } },
    { "conflict with the edit of another operator", { { editCall, 409, problem(405, "EditConflict", R"("detail":"Revision 4 is in force.","run":"no","current":{"revision":4,"operator":"mari","body":)" + entryBody(7) + '}') } },
        exit_code::Rejected, {},
        { "Rejected: the edit of entry 'shop' (EditConflict, result code 405): Revision 4 is in force.", "Their edit, by mari, from revision 3 to revision 4:\n  - limits.queue: 5\n  + limits.queue: 7",
            "Your edit of revision 3:\n  - limits.queue: 5\n  + limits.queue: 9" } },
    { "the daemon rejects the entry as invalid", { { editCall, 422, problem(406, "EditInvalid", R"("detail":"due_ms is 0.","run":"no")") } }, exit_code::Rejected, {}, { "EditInvalid, result code 406): due_ms is 0." } },
    { "lost reply, edit accepted", { { editCall, 0, "", result_code::UpstreamTimeout }, { historyCall, 200, R"({"edits":[]})" }, { historyCall, 200, R"({"edits":[)" + historyItem("record-1", 0) + "]}" }, { confirmCall, 200, allConfirmed } },
        exit_code::Ok, { "Accepted", "In force" }, { "was lost; looking for its record record-1" } },
    { "lost reply, edit rejected", { { editCall, 0, "", result_code::UpstreamBroken }, { historyCall, 200, R"({"edits":[)" + historyItem("record-1", 405) + "]}" } },
        exit_code::Rejected, {}, { "EditConflict, result code 405): It was first." } },
    { "lost reply, record of another operator", { { editCall, 0, "", result_code::UpstreamBroken }, { historyCall, 200, R"({"edits":[)" + historyItem("record-2", 0) + "]}" } },
        exit_code::Unreachable, {}, { "outcome of the edit of entry 'shop' is unknown" } },
    { "the daemon lost the reply of the log", { { editCall, 503, problem(502, "AppendUnknown", R"("detail":"d","run":"unknown")") }, { historyCall, 200, R"({"edits":[)" + historyItem("record-1", 0) + "]}" }, { confirmCall, 200, allConfirmed } },
        exit_code::Ok, { "In force" }, {} },
    { "the answer to the edit cannot be read", { { editCall, 200, "[" }, { historyCall, 200, R"({"edits":[)" + historyItem("record-1", 0) + "]}" }, { confirmCall, 200, allConfirmed } },
        exit_code::Ok, { "In force" }, {} },
    { "the log is down", { { editCall, 503, problem(500, "LogUnavailable", R"("detail":"The log is down.","run":"no")") } }, exit_code::Unreachable, {}, { "LogUnavailable, result code 500): The log is down." } },
    { "the daemon is unreachable", { { editCall, 0, "", result_code::UpstreamUnreachable } }, exit_code::Unreachable, {}, { "did not answer" } },
};

void prepare(scripted_environment& script, const apply_row& row)
{
    script.addAnswer(readCall, 200, R"({"entry":"shop","revision":3,"body":)" + entryBody(5) + '}');
    for (const reply_row& reply : row.replies) {
        if (reply.lost == result_code::Ok)
            script.addAnswer(reply.call, reply.status, reply.body);
        else
            script.addFailure(reply.call, reply.lost);
    }
}

}

TEST_CASE("An edit is sent once and its outcome is reported")
{
    for (const apply_row& row : applyRows) {
        CAPTURE(row.name);
        scripted_environment script;
        prepare(script, row);
        CHECK(apply_command(script.environment).run({ "shop", std::nullopt, entryBody(9) }) == row.code);
        for (const std::string& text : row.output)
            CHECK_THAT(script.output.str(), Catch::Contains(text));
        for (const std::string& text : row.errors)
            CHECK_THAT(script.errors.str(), Catch::Contains(text));
        CHECK(script.callCount(editCall) == row.edits);
    }
}

TEST_CASE("An edit names the revision, the operator and a record id")
{
    scripted_environment script;
    prepare(script, applyRows.front());
    apply_command(script.environment).run({ "shop", std::nullopt, entryBody(9) });
    const nlohmann::json sent = nlohmann::json::parse(script.requests.at(1).body.view());
    CHECK(sent == nlohmann::json { { "id", "record-1" }, { "entry", "shop" }, { "replaces", 3 }, { "operator", "mart" }, { "action", "put" }, { "body", nlohmann::json::parse(entryBody(9)) } });
}

TEST_CASE("An edit without a difference is not sent")
{
    scripted_environment script;
    prepare(script, applyRows.front());
    CHECK(apply_command(script.environment).run({ "shop", std::nullopt, entryBody(5) }) == exit_code::Ok);
    CHECK(script.callCount("POST") == 0);
    CHECK(apply_command(script.environment).run({ "shop", 3, entryBody(5) }) == exit_code::Ok);
    CHECK(script.callCount("POST") == 0);
}

TEST_CASE("The base of a file with an old revision comes from the history")
{
    scripted_environment script;
    prepare(script, { "", { { editCall, 409, problem(405, "EditConflict", R"("detail":"d","current":{"revision":3,"operator":"mari","body":)" + entryBody(5) + '}') }, { historyCall, 200, R"({"edits":[{"offset":30,"record":"r","operator":"mart","replaces":1,"revision":2,"code":0,"body":)" + entryBody(1) + "}]}" } }, exit_code::Ok, {}, {} });
    CHECK(apply_command(script.environment).run({ "shop", 2, entryBody(9) }) == exit_code::Rejected);
    CHECK_THAT(script.errors.str(), Catch::Contains("- limits.queue: 1\n  + limits.queue: 5") && Catch::Contains("- limits.queue: 1\n  + limits.queue: 9"));
}

TEST_CASE("The outcome as JSON names the VMs that have not confirmed")
{
    scripted_environment script;
    prepare(script, applyRows.at(2));
    script.environment.format = output_format::Json;
    CHECK(apply_command(script.environment).run({ "shop", std::nullopt, entryBody(9) }) == exit_code::Unconfirmed);
    const nlohmann::json shown = nlohmann::json::parse(script.output.str());
    CHECK(shown["in_force"] == false);
    CHECK(shown["unconfirmed"] == nlohmann::json::parse(R"([{"vm":"v2","data_centre":"e","position":40}])"));
}
