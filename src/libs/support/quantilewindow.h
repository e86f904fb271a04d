#pragma once

#include <cstddef>
#include <memory>

namespace ragwortreach::Internal {

/// Quantiles of the values in a sliding window, computed by Boost.Accumulators.
///
/// Each value is added to two accumulators that were started half a window apart; quantiles are read from the older.
class quantile_window {
public:
    quantile_window();
    ~quantile_window();
    quantile_window(quantile_window&&) noexcept;
    quantile_window& operator=(quantile_window&&) noexcept;

    void add(double value);

    /// Replaces the older accumulator by the newer one and starts a new one.
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
