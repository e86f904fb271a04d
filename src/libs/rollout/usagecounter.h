#pragma once

#include "usagemeter.h"
#include "usagerecord.h"
#include "walltime.h"

#include <core/instant.h>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Counts the requests that this process saw begin, by window of time and organisation.
class usage_counter : public usage_meter {
public:
    /// A window is closed by this much after its end, since a run is known to have begun only when its answer arrives.
    static constexpr duration closingDelay = std::chrono::milliseconds(800);

    explicit usage_counter(const wall_time& time);

    void setBounds(const usage_bounds& bounds) { m_bounds = bounds; }
    void noteBegun(std::string_view organisation, instant at) override;
    /// Whether counts were added or windows were closed since takeWindows().
    bool hasNews(instant now) const;
    /// The windows with counts that may still be reported.
    std::vector<usage_window> takeWindows(instant now);
    /// Makes the windows news again, since what takeWindows() returned was lost.
    void putBack() { m_hasNews = true; }

private:
    bool isOver(std::uint64_t window, instant now) const;

    const wall_time& m_time;
    usage_bounds m_bounds;
    std::map<std::uint64_t, usage_window> m_windows;
    bool m_hasNews = false;
};

}
