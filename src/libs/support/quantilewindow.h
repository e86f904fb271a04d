#pragma once

#include <cstddef>
#include <memory>

namespace ragwortreach::Internal {

/// Quantiles of the values of a sliding window, by Boost.Accumulators.
///
/// Two accumulators, half a window apart, see each value; the older one answers.
class quantile_window {
public:
    quantile_window();
    ~quantile_window();
    quantile_window(quantile_window&&) noexcept;
    quantile_window& operator=(quantile_window&&) noexcept;

    void add(double value);

    /// Drops the older accumulator.
    void rotate();

    /// Number of values in the window.
    std::size_t count() const;

    /// Value below which the share \a probability of the window lies; NaN when the window is empty.
    double quantile(double probability) const;

private:
    struct window_data;
    std::unique_ptr<window_data> m_data;
};

}
