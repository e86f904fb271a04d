#include <commandline/loadreport.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace ragwortreach;

namespace {

load_report sampleReport()
{
    customer_report customer;
    customer.entry = "shop";
    customer.arrived = 4;
    customer.completeInTime = 2;
    customer.completeLate = 1;
    customer.refusals[201] = 1;
    customer.latencies = { 30, 10, 20 };
    trainer_report trainer;
    trainer.name = "t1";
    trainer.completed = 1;
    trainer.idleMilliseconds = 100;
    trainer.trainingMilliseconds = 300;
    trainer.staleness = { 0, 2, 1 };
    return { { customer }, { trainer } };
}

}

TEST_CASE("A quantile is one of the values")
{
    const double values[] = { 5, 1, 4, 2, 3 };
    CHECK(quantileOf(values, 0) == 1);
    CHECK(quantileOf(values, 0.5) == 3);
    CHECK(quantileOf(values, 1) == 5);
    CHECK(quantileOf({}, 0.5) == 0);
}

TEST_CASE("The report has the same figures as text and as JSON")
{
    const std::string text = toText(sampleReport());
    CHECK_THAT(text, Catch::Contains("shop   4        2 (50.00 %)    1     1        0       0      20.0") && Catch::Contains("25.0 %") && Catch::Contains("shop: result code 201, 1 times"));
    const nlohmann::json document = nlohmann::json::parse(toJson(sampleReport()));
    CHECK(document["customers"][0]["share_whole_in_time"] == 0.5);
    CHECK(document["customers"][0]["latency_ms"]["p50"] == 20);
    CHECK(document["customers"][0]["refusals"]["201"] == 1);
    CHECK(document["trainers"][0]["idle_share"] == 0.25);
    CHECK(document["trainers"][0]["staleness_versions"]["max"] == 2);
}
