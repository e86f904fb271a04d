#include <support/metrics.h>
#include <support/processusage.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace ragwortreach;

namespace {

constexpr metric_family requests { metric_kind::Counter, "requests_total", "Requests\nof all classes." };
constexpr metric_family inFlight { metric_kind::Gauge, "in_flight", "Requests under way." };
constexpr metric_family latency { metric_kind::Summary, "latency_seconds", "Time to the answer." };
constexpr metric_family dropped { metric_kind::Counter, "ragwortreach_metrics_dropped_total", "" };

struct quantile_row {
    const char* name;
    int count;
    double probability;
    double tolerance;
};

}

TEST_CASE("The text has the format of Prometheus")
{
    metrics shown;
    const metric_label labels[] = { { "class", "a\"b\\c\n" }, { "code", "0" } };
    shown.add(requests, labels);
    shown.add(requests, labels, 2);
    shown.set(inFlight, {}, 4.5);
    for (int i = 1; i <= 10; ++i)
        shown.observe(latency, {}, i);
    CHECK(shown.prometheusText() == R"(# HELP in_flight Requests under way.
# TYPE in_flight gauge
in_flight 4.5
# HELP latency_seconds Time to the answer.
# TYPE latency_seconds summary
latency_seconds{quantile="0.5"} 6
latency_seconds{quantile="0.9"} 10
latency_seconds{quantile="0.99"} 10
latency_seconds{quantile="0.999"} 10
latency_seconds_sum 55
latency_seconds_count 10
# HELP requests_total Requests\nof all classes.
# TYPE requests_total counter
requests_total{class="a\"b\\c\n",code="0"} 3
)");
}

TEST_CASE("Quantiles come close to those of the sorted values")
{
    const quantile_row rows[] = {
        { "one value", 1, 0.5, 0 },
        { "small window, median", 400, 0.5, 0.01 },
        { "small window, tail", 400, 0.99, 0 },
        { "large window, median", 50000, 0.5, 0.02 },
        { "large window, p90", 50000, 0.9, 0.02 },
        { "large window, p99", 50000, 0.99, 0.0001 },
        { "large window, p99.9", 50000, 0.999, 0.0001 },
    };
    for (const quantile_row& row : rows) {
        CAPTURE(row.name);
        std::mt19937_64 random(11);
        std::exponential_distribution<double> distribution(1);
        metrics shown;
        std::vector<double> values;
        for (int i = 0; i < row.count; ++i) {
            values.push_back(distribution(random));
            shown.observe(latency, {}, values.back());
        }
        std::sort(values.begin(), values.end());
        const std::size_t rank = static_cast<std::size_t>(static_cast<double>(values.size()) * row.probability);
        const double exact = values[std::min(rank, values.size() - 1)];
        CHECK(shown.quantile(latency, {}, row.probability) == Approx(exact).epsilon(row.tolerance + 1e-9));
    }
}

TEST_CASE("Old values leave the window after two rotations")
{
    metrics shown;
    shown.observe(latency, {}, 100);
    shown.rotate();
    shown.observe(latency, {}, 1);
    CHECK(shown.quantile(latency, {}, 1) == 100);
    shown.rotate();
    CHECK(shown.quantile(latency, {}, 1) == 1);
    shown.rotate();
    CHECK(std::isnan(shown.quantile(latency, {}, 1)));
    CHECK(shown.value(latency) == 2);
}

TEST_CASE("A family holds a bounded number of series")
{
    metrics shown;
    for (std::size_t i = 0; i < metrics::maxSeriesPerFamily + 3; ++i) {
        const std::string value = std::to_string(i);
        const metric_label labels[] = { { "id", value } };
        shown.add(requests, labels);
    }
    CHECK(shown.value(dropped) == 3);
}

TEST_CASE("The process reads its own use of the machine")
{
    const process_usage readings = readProcessUsage();
    CHECK(readings.residentBytes > 100000);
    CHECK(readings.openFiles >= 3);
    CHECK(readings.threads >= 1);
    metrics shown;
    setProcessUsageGauges(shown);
    CHECK(shown.prometheusText().find("process_resident_memory_bytes ") != std::string::npos);
}
