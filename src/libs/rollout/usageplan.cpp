#include "usageplan.h"

#include <algorithm>

namespace ragwortreach {

usage_plan::usage_plan(const usage_bounds& bounds)
    : m_bounds(bounds)
{
}

std::uint64_t usage_plan::windowAt(duration time) const
{
    return static_cast<std::uint64_t>(std::max(time, duration::zero()) / m_bounds.windowLength);
}

usage_steps usage_plan::steps(const usage_ledger& ledger, const usage_view& view) const
{
    usage_steps result;
    const duration earliest = settlingTime + view.writeInterval;
    const duration latest = std::max(earliest, m_bounds.dueTime / 2);
    // A report that is twice as late as allowed is of no use any more.
    for (std::uint64_t window = windowAt(view.now - 2 * m_bounds.dueTime); endOf(window) + earliest <= view.now; ++window) {
        if (ledger.isAccepted(window))
            continue;
        const usage_report* const report = ledger.reportOf(window);
        if (report) {
            result.calls.push_back(*report);
            continue;
        }
        const bool isClosed = ledger.isClosed(window);
        const bool isDue = view.confirmedAt >= endOf(window) + earliest && (isClosed || view.now >= endOf(window) + latest);
        if (!isDue)
            continue;
        result.additions.push_back({ window, ledger.sumOf(window) });
    }
    return result;
}

std::vector<std::string> usage_plan::obsoleteKeys(const usage_ledger& ledger, duration now, std::size_t max) const
{
    return ledger.keysBefore(windowAt(now - std::max(retention, 4 * m_bounds.dueTime)), max);
}

}
