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
    /// A window is closed by this much after its end, since replicas may still refuse what was sent in it.
    static constexpr duration closingDelay = std::chrono::milliseconds(300);

    explicit usage_counter(const wall_time& time);

    /// Without bounds nothing is counted, and what was counted is dropped.
    void setBounds(const std::optional<usage_bounds>& bounds);
    void noteBegun(std::string_view organisation, instant at) override;
    void noteNotBegun(std::string_view organisation, instant at) override;
    /// Whether counts have changed or windows have closed since windowsToWrite().
    bool hasUnwritten(instant now) const;
    /// Closes the windows that are over, and returns all that may still be reported.
    std::vector<usage_window> windowsToWrite(instant now);
    /// Notes that what windowsToWrite() returned was not written.
    void markUnwritten() { m_hasUnwritten = true; }

private:
    usage_window* windowAt(instant at);
    bool isOver(std::uint64_t window, instant now) const;

    const wall_time& m_time;
    std::optional<usage_bounds> m_bounds;
    std::map<std::uint64_t, usage_window> m_windows;
    bool m_hasUnwritten = false;
};

}
