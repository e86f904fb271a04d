#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Type of a metric.
enum class metric_kind {
    /// Sum that only increases.
    Counter,
    /// Value that is set.
    Gauge,
    /// Distribution, shown as quantiles with sum and count.
    Summary,
};

/// Type, name and help text of a metric. The texts must outlive the metrics; use literals.
struct metric_family {
    metric_kind kind;
    std::string_view name;
    std::string_view help;
};

/// Label that distinguishes the series of one family.
struct metric_label {
    std::string_view name;
    std::string_view value;
};

/// Counters, gauges and summaries of a process, exported in the text format of Prometheus.
///
/// Quantiles come from Boost.Accumulators over a sliding time window of one to two periods of rotate(). Each family
/// holds at most maxSeriesPerFamily series; values for more are dropped and counted in
/// ragwortreach_metrics_dropped_total. Not thread-safe.
class metrics {
public:
    static constexpr std::size_t maxSeriesPerFamily = 1024;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds \a amount to a counter.
    void add(const metric_family& family, std::span<const metric_label> labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(const metric_family& family, std::span<const metric_label> labels, double value);

    /// Adds a value to a summary.
    void observe(const metric_family& family, std::span<const metric_label> labels, double value);

    /// Value of a counter or gauge, or the number of values ever observed; 0 when there is no such series.
    double value(const metric_family& family, std::span<const metric_label> labels = {}) const;

    /// Quantile of a summary within its window; NaN when the window is empty.
    ///
    /// Exact for windows of a few hundred values and for tails, else estimated by the P-square method.
    double quantile(const metric_family& family, std::span<const metric_label> labels, double probability) const;

    /// Advances the windows of all summaries; called once a minute.
    void rotate();

    /// All series in version 0.0.4 of the text format of Prometheus, ordered by family and label.
    std::string prometheusText() const;

private:
    struct metrics_data;
    std::unique_ptr<metrics_data> m_data;
};

}
