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
constexpr metric_family inFlight { metric_kind::Gauge, "in_flight", "Requests in flight." };
constexpr metric_family latency { metric_kind::Summary, "latency_seconds", "Time to the answer." };
constexpr metric_family dropped { metric_kind::Counter, "ragwortreach_metrics_dropped_total", "" };

struct quantile_row {
    const char* name;
    int count;
    double probability;
    double tolerance;
};

}

TEST_CASE("Metrics are written in the text format of Prometheus")
{
    metrics target;
    const metric_label labels[] = { { "class", "a\"b\\c\n" }, { "code", "0" } };
    target.add(requests, labels);
    target.add(requests, labels, 2);
    target.set(inFlight, {}, 4.5);
    for (int i = 1; i <= 10; ++i)
        target.observe(latency, {}, i);
    CHECK(target.prometheusText() == R"(# HELP in_flight Requests in flight.
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

TEST_CASE("Quantiles are close to those of the sorted values")
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
        metrics target;
        std::vector<double> values;
        for (int i = 0; i < row.count; ++i) {
            values.push_back(distribution(random));
            target.observe(latency, {}, values.back());
        }
        std::sort(values.begin(), values.end());
        const std::size_t rank = static_cast<std::size_t>(static_cast<double>(values.size()) * row.probability);
        const double exact = values[std::min(rank, values.size() - 1)];
        CHECK(target.quantile(latency, {}, row.probability) == Approx(exact).epsilon(row.tolerance + 1e-9));
    }
}

TEST_CASE("Old values leave the window after two rotations")
{
    metrics target;
    target.observe(latency, {}, 100);
    target.rotate();
    target.observe(latency, {}, 1);
    CHECK(target.quantile(latency, {}, 1) == 100);
    target.rotate();
    CHECK(target.quantile(latency, {}, 1) == 1);
    target.rotate();
    CHECK(std::isnan(target.quantile(latency, {}, 1)));
    CHECK(target.value(latency) == 2);
}

TEST_CASE("A family holds a bounded number of series")
{
    metrics target;
    for (std::size_t i = 0; i < metrics::maxSeriesPerFamily + 3; ++i) {
        const std::string value = std::to_string(i);
        const metric_label labels[] = { { "id", value } };
        target.add(requests, labels);
    }
    CHECK(target.value(dropped) == 3);
}

TEST_CASE("The resource usage of the process is read and exported as metrics")
{
    const process_usage usage = readProcessUsage();
    CHECK(usage.residentBytes > 100000);
    CHECK(usage.openFiles >= 3);
    CHECK(usage.threads >= 1);
    metrics target;
    setProcessUsageGauges(target);
    CHECK(target.prometheusText().find("process_resident_memory_bytes ") != std::string::npos);
}
