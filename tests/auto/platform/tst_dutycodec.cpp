#include <platform/dutycodec.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;
using namespace ragwortreach::platform;

TEST_CASE("A report of usage names its sender, the fencing token and the counts of the window")
{
    const http_request request = encodeUsageReport({ 353445120, { { "guild", 412 }, { "weavers", 0 } } }, { "entry-a1", 12 });
    CHECK(request.method == "POST");
    CHECK(request.target == "/usage");
    CHECK(headerValue(request.headers, "Duty-Holder") == "entry-a1");
    CHECK(headerValue(request.headers, "Fencing-Token") == "12");
    const nlohmann::json expected { { "window_id", 353445120 }, { "counts", { { "guild", 412 }, { "weavers", 0 } } } };
    CHECK(nlohmann::json::parse(request.body.view()) == expected);
    CHECK(nlohmann::json::parse(encodeUsageReport({ 1, {} }, {}).body.view())["counts"].is_object());
}

TEST_CASE("The outcome of a call follows from the status of its answer")
{
    CHECK(decodeDutyOutcome(200) == duty_outcome::Done);
    CHECK(decodeDutyOutcome(409) == duty_outcome::Refused);
    CHECK(decodeDutyOutcome(429) == duty_outcome::TooMany);
    for (const int status : { 0, 202, 400, 404, 500, 503 })
        CHECK(decodeDutyOutcome(status) == duty_outcome::Unknown);
}

TEST_CASE("An order of replicas names the service, the data centre and the number, and says whether they are spot replicas")
{
    const http_request regular = encodeScaling({ { "engines", "north-a", false }, 6 }, { "entry-a1", 12 });
    CHECK(regular.target == "/scale");
    CHECK(headerValue(regular.headers, "Duty-Holder") == "entry-a1");
    CHECK(headerValue(regular.headers, "Fencing-Token") == "12");
    CHECK(nlohmann::json::parse(regular.body.view()) == nlohmann::json({ { "service", "engines" }, { "zone", "north-a" }, { "group_count", 6 } }));
    const http_request spot = encodeScaling({ { "engines", "north-a", true }, 0 }, { "entry-a1", 12 });
    CHECK(nlohmann::json::parse(spot.body.view()) == nlohmann::json({ { "service", "engines" }, { "zone", "north-a" }, { "group_count", 0 }, { "spot", true } }));
}
