#include "metrics.h"

#include "quantilewindow.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <variant>

namespace ragwortreach {

namespace {

    constexpr std::array<double, 4> exportedQuantiles { 0.5, 0.9, 0.99, 0.999 };
    constexpr metric_family droppedFamily {
        metric_kind::Counter, "ragwortreach_metrics_dropped_total", "Values dropped because a family has too many series."
    };

    struct summary {
        Internal::quantile_window window;
        double sum = 0;
        std::uint64_t count = 0;
    };

    /// The number of a counter or gauge, or a summary.
    using series = std::variant<double, summary>;

    template <typename... visitors>
    struct overloaded : visitors... {
        using visitors::operator()...;
    };
    template <typename... visitors>
    overloaded(visitors...) -> overloaded<visitors...>;

    /// Series of one family, by the text of their labels.
    struct family_data {
        metric_family family;
        std::map<std::string, series, std::less<>> seriesByLabels;
    };

    std::string numberText(double value)
    {
        if (std::isnan(value))
            return "NaN";
        if (std::isinf(value))
            return value > 0 ? "+Inf" : "-Inf";
        std::array<char, 32> text {};
        const std::to_chars_result result = std::to_chars(text.data(), text.data() + text.size(), value);
        return { text.data(), result.ptr };
    }

    std::string escaped(std::string_view text, bool isQuoted)
    {
        std::string result;
        for (const char c : text) {
            if (c == '\\')
                result += "\\\\";
            else if (c == '\n')
                result += "\\n";
            else if (c == '"' && isQuoted)
                result += "\\\"";
            else
                result += c;
        }
        return result;
    }

    std::string labelText(std::span<const metric_label> labels)
    {
        std::string text;
        for (const metric_label& label : labels) {
            if (!text.empty())
                text += ',';
            text += std::string(label.name) + "=\"" + escaped(label.value, true) + '"';
        }
        return text;
    }

    std::string sampleText(std::string_view name, std::string_view suffix, const std::string& labels, double value)
    {
        const std::string braced = labels.empty() ? "" : '{' + labels + '}';
        return std::string(name) + std::string(suffix) + braced + ' ' + numberText(value) + '\n';
    }

    std::string summaryText(std::string_view name, const std::string& labels, const summary& exported)
    {
        std::string text;
        const std::string prefix = labels.empty() ? "" : labels + ',';
        for (const double probability : exportedQuantiles) {
            std::string allLabels = prefix;
            allLabels += "quantile=\"";
            allLabels += numberText(probability);
            allLabels += '"';
            text += sampleText(name, "", allLabels, exported.window.quantile(probability));
        }
        text += sampleText(name, "_sum", labels, exported.sum);
        text += sampleText(name, "_count", labels, static_cast<double>(exported.count));
        return text;
    }

    std::string_view kindText(metric_kind kind)
    {
        switch (kind) {
        case metric_kind::Counter:
            return "counter";
        case metric_kind::Gauge:
            return "gauge";
        case metric_kind::Summary:
            return "summary";
        }
        return "untyped";
    }

    std::string familyText(const family_data& data)
    {
        const std::string name(data.family.name);
        std::string text = "# HELP " + name + ' ' + escaped(data.family.help, false) + '\n';
        text += "# TYPE " + name + ' ' + std::string(kindText(data.family.kind)) + '\n';
        for (const std::pair<const std::string, series>& entry : data.seriesByLabels) {
            text += std::visit(overloaded {
                                   [&](double value) { return sampleText(name, "", entry.first, value); },
                                   [&](const summary& exported) { return summaryText(name, entry.first, exported); },
                               },
                entry.second);
        }
        return text;
    }

}

struct metrics::metrics_data {
    std::map<std::string_view, family_data> families;

    /// Series with these labels, created on first use; nullptr when the family has its maximum of series.
    series* seriesFor(const metric_family& family, std::span<const metric_label> labels)
    {
        family_data& data = families.try_emplace(family.name, family_data { family, {} }).first->second;
        const std::string text = labelText(labels);
        const auto it = data.seriesByLabels.find(text);
        if (it != data.seriesByLabels.end())
            return &it->second;
        if (data.seriesByLabels.size() >= maxSeriesPerFamily)
            return nullptr;
        series created = family.kind == metric_kind::Summary ? series(summary()) : series(0.0);
        return &data.seriesByLabels.emplace(text, std::move(created)).first->second;
    }

    const series* find(const metric_family& family, std::span<const metric_label> labels) const
    {
        const auto it = families.find(family.name);
        if (it == families.end())
            return nullptr;
        const auto found = it->second.seriesByLabels.find(labelText(labels));
        return found == it->second.seriesByLabels.end() ? nullptr : &found->second;
    }

    void countDropped()
    {
        series* const dropped = seriesFor(droppedFamily, {});
        std::get<double>(*dropped) += 1;
    }
};

metrics::metrics()
    : m_data(std::make_unique<metrics_data>())
{
}

metrics::~metrics() = default;

void metrics::add(const metric_family& family, std::span<const metric_label> labels, double amount)
{
    series* const found = m_data->seriesFor(family, labels);
    double* const number = std::get_if<double>(found);
    if (number == nullptr)
        return m_data->countDropped();
    *number += amount;
}

void metrics::set(const metric_family& family, std::span<const metric_label> labels, double value)
{
    series* const found = m_data->seriesFor(family, labels);
    double* const number = std::get_if<double>(found);
    if (number == nullptr)
        return m_data->countDropped();
    *number = value;
}

void metrics::observe(const metric_family& family, std::span<const metric_label> labels, double value)
{
    series* const found = m_data->seriesFor(family, labels);
    summary* const observed = std::get_if<summary>(found);
    if (observed == nullptr)
        return m_data->countDropped();
    observed->window.add(value);
    observed->sum += value;
    ++observed->count;
}

double metrics::value(const metric_family& family, std::span<const metric_label> labels) const
{
    const series* const found = m_data->find(family, labels);
    if (found == nullptr)
        return 0;
    return std::visit(overloaded {
                          [](double number) { return number; },
                          [](const summary& observed) { return static_cast<double>(observed.count); },
                      },
        *found);
}

double metrics::quantile(const metric_family& family, std::span<const metric_label> labels, double probability) const
{
    const series* const found = m_data->find(family, labels);
    const summary* const observed = std::get_if<summary>(found);
    return observed == nullptr ? std::nan("") : observed->window.quantile(probability);
}

void metrics::rotate()
{
    for (std::pair<const std::string_view, family_data>& family : m_data->families) {
        for (std::pair<const std::string, series>& entry : family.second.seriesByLabels) {
            if (summary* const observed = std::get_if<summary>(&entry.second))
                observed->window.rotate();
        }
    }
}

std::string metrics::prometheusText() const
{
    std::string text;
    for (const std::pair<const std::string_view, family_data>& family : m_data->families)
        text += familyText(family.second);
    return text;
}

}
