#include "scriptedenvironment.h"

#include <commandline/timelinecommand.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;

namespace {

std::string event(std::uint64_t packed, const std::string& vm, const std::string& kind, int code, const std::string& detail)
{
    return R"({"time":")" + std::to_string(packed) + R"(","vm":")" + vm + R"(","kind":")" + kind + R"(","subject":"r 1","code":)"
        + std::to_string(code) + R"(,"detail":")" + detail + "\"}";
}

void prepare(scripted_environment& script, const std::string& query)
{
    script.addAnswer("GET a /status", 200, R"({"vm":"v1","data_centre":"d","members":[{"vm":"v1","admin":"a"},{"vm":"v2","admin":"b"},{"vm":"v3","admin":"c"}]})");
    script.addAnswer("GET a /timeline?" + query, 200, R"({"vm":"v1","events":[)" + event(65536000, "v1", "request_received", 0, "The request came.") + ',' + event(65536003, "v1", "request_failed", 301, "") + "]}");
    script.addAnswer("GET b /timeline?" + query, 200, R"({"vm":"v2","events":[)" + event(65536001, "v2", "attempt_started", 0, "It was sent to llm-a1.") + "]}");
}

}

TEST_CASE("The events of all daemons are merged by hybrid time")
{
    scripted_environment script;
    prepare(script, "since=0");
    CHECK(runTimeline(script.environment, "", "") == exit_code::Ok);
    CHECK(script.output.str() == R"(1970-01-01T00:00:01.000Z+0 v1 request_received r 1: The request came.
1970-01-01T00:00:01.000Z+1 v2 attempt_started r 1: It was sent to llm-a1.
1970-01-01T00:00:01.000Z+3 v1 request_failed r 1: request failed. [UpstreamBroken, result code 301]
)");
    CHECK(script.errors.str() == "The time line lacks the events of v3 (c), which did not answer.\n");
}

TEST_CASE("The explanation of a request ends with the meaning of its result code")
{
    scripted_environment script;
    prepare(script, "since=0&subject=r%201");
    CHECK(runExplain(script.environment, "r 1", "") == exit_code::Ok);
    CHECK_THAT(script.output.str(), Catch::StartsWith("r 1: 3 events on 2 VMs within 0 ms.\n") && Catch::Contains("on v2, attempt started: It was sent to llm-a1.") && Catch::EndsWith("The last event carries result code 301: The upstream closed the connection before its answer was whole; the call may have run.\n"));
}

TEST_CASE("An id without events is rejected")
{
    scripted_environment script;
    script.addAnswer("GET a /status", 200, R"({"vm":"v1"})");
    script.addAnswer("GET a /timeline?since=0&subject=x", 200, R"({"vm":"v1","events":[]})");
    CHECK(runExplain(script.environment, "x", "") == exit_code::Rejected);
    CHECK_THAT(script.errors.str(), Catch::Contains("None of the 1 daemons that answered holds an event about 'x'"));
}

TEST_CASE("The start is parsed as a time span or as a packed time")
{
    struct since_row {
        const char* text;
        std::optional<std::uint64_t> packed;
    };
    const since_row rows[] = { { "", 0 }, { "77", 77 }, { "2s", 8000ull << 16 }, { "1h", 0 }, { "5", 5 }, { "5d", std::nullopt }, { "s", std::nullopt }, { "5ms", std::nullopt } };
    for (const since_row& row : rows) {
        CAPTURE(row.text);
        const std::optional<hybrid_time> time = parseSince(row.text, 10000);
        REQUIRE(time.has_value() == row.packed.has_value());
        CHECK((!time || time->packed == *row.packed));
    }
}
