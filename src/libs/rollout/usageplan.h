#pragma once

#include "usageledger.h"
#include "usagerecord.h"

#include <core/instant.h>

#include <string>
#include <vector>

namespace ragwortreach {

/// How up to date the holder is, in time since the start of 1970.
struct usage_view {
    duration now {};
    /// All records that were written before this time are in the ledger.
    duration confirmedAt {};
    /// Longest time that a process of the fleet waits before it writes what it counted.
    duration writeInterval {};
};

/// What the holder of the lease on usage reports does next.
struct usage_steps {
    /// Reports to write to the log; they may not be sent before they were read back from it.
    std::vector<usage_report> additions;
    /// Reports to send to the platform, the oldest first.
    std::vector<usage_report> calls;
};

/// Decides which windows are added up and reported.
///
/// Load pattern: few requests in each window, spread over many processes, of which some are killed or cut off before they
/// have written their last counts; and holders that fail. A window is added up as soon as each process that counted in it
/// has closed it. It does not wait for a failed one beyond half of the time until the report is due: the other half is
/// left for a successor of the holder and for repeated calls.
class usage_plan {
public:
    /// Time after the end of a window before which it is not added up, besides the interval in which processes write: their
    /// records take some time.
    static constexpr duration settlingTime = std::chrono::milliseconds(500);
    /// Records of windows that ended longer ago are removed from the log.
    static constexpr duration retention = std::chrono::seconds(60);

    explicit usage_plan(const usage_bounds& bounds);

    usage_steps steps(const usage_ledger& ledger, const usage_view& view) const;
    /// Keys of records that are of no use any more, at most \a max.
    std::vector<std::string> obsoleteKeys(const usage_ledger& ledger, duration now, std::size_t max) const;

private:
    std::uint64_t windowAt(duration time) const;
    duration endOf(std::uint64_t window) const { return m_bounds.windowLength * static_cast<duration::rep>(window + 1); }

    usage_bounds m_bounds;
};

}
