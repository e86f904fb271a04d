#include "quantilewindow.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace ragwortreach::Internal {

namespace accumulators = boost::accumulators;

namespace {

    /// Number of largest values that are stored, so that the quantiles among them are exact.
    constexpr std::size_t tailSize = 512;
    /// Added before rounding down, because rounding errors can put a product slightly below its exact integer value.
    constexpr double roundingMargin = 1e-9;
    /// Quantiles that the P-square method estimates.
    constexpr std::array<double, 7> markerProbabilities { 0.05, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999 };

    using estimate_accumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;
    using tail_accumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::tail<accumulators::right>>>;

    /// Accumulators of one window.
    struct window_accumulator {
        estimate_accumulator estimate { accumulators::extended_p_square_probabilities = markerProbabilities };
        tail_accumulator tail { accumulators::tag::tail<accumulators::right>::cache_size = tailSize };

        void add(double value)
        {
            estimate(value);
            tail(value);
        }
    };

    /// Interpolates linearly between the two nearest markers.
    double estimatedQuantile(const estimate_accumulator& estimate, double probability)
    {
        const auto upper = std::lower_bound(markerProbabilities.begin() + 1, markerProbabilities.end() - 1, probability);
        const std::ptrdiff_t index = upper - markerProbabilities.begin();
        const double upperValue = accumulators::extended_p_square(estimate)[index];
        const double lowerValue = accumulators::extended_p_square(estimate)[index - 1];
        const double lowerProbability = *(upper - 1);
        const double share = std::clamp((probability - lowerProbability) / (*upper - lowerProbability), 0.0, 1.0);
        return lowerValue + share * (upperValue - lowerValue);
    }

}

struct quantile_window::window_data {
    window_accumulator older;
    window_accumulator newer;
};

quantile_window::quantile_window()
    : m_data(std::make_unique<window_data>())
{
}

quantile_window::~quantile_window() = default;
quantile_window::quantile_window(quantile_window&&) noexcept = default;
quantile_window& quantile_window::operator=(quantile_window&&) noexcept = default;

void quantile_window::add(double value)
{
    m_data->older.add(value);
    m_data->newer.add(value);
}

void quantile_window::rotate()
{
    m_data->older = std::exchange(m_data->newer, window_accumulator());
}

std::size_t quantile_window::count() const
{
    return accumulators::count(m_data->older.estimate);
}

double quantile_window::quantile(double probability) const
{
    const std::size_t size = count();
    if (size == 0)
        return std::numeric_limits<double>::quiet_NaN();
    const double below = std::floor(static_cast<double>(size) * probability + roundingMargin);
    const std::size_t rank = size - std::min(size - 1, static_cast<std::size_t>(std::max(0.0, below)));
    if (rank <= std::min(size, tailSize))
        return *(accumulators::tail(m_data->older.tail).begin() + static_cast<std::ptrdiff_t>(rank) - 1);
    return estimatedQuantile(m_data->older.estimate, probability);
}

}
