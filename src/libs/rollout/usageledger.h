#pragma once

#include "usagerecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Counts and reports of all processes, built from the records of the topic of usage reports.
///
/// Several processes may write a report of the same window, such as a former holder of the lease whose write arrives late.
/// The first one in the log counts, so all processes find the same one, and a window is never reported with two counts.
class usage_ledger {
public:
    /// Applies the record at \a offset of the log under \a key; without a value the key was removed.
    void apply(const std::string& key, const std::optional<usage_record>& record, std::uint64_t offset);

    /// Report of \a window, or null while none is in the log.
    const usage_report* reportOf(std::uint64_t window) const;
    bool isAccepted(std::uint64_t window) const { return m_accepted.contains(window); }
    /// Sum of what all processes counted in \a window.
    usage_counts sumOf(std::uint64_t window) const;
    /// Whether each process that counted in \a window has closed it.
    bool isClosed(std::uint64_t window) const;
    /// Keys of records that only concern windows before \a window, at most \a max.
    std::vector<std::string> keysBefore(std::uint64_t window, std::size_t max) const;

private:
    friend class usage_visitor;

    struct logged_report {
        usage_report report;
        std::uint64_t offset = 0;
    };

    std::map<std::string, process_usage, std::less<>> m_processes;
    std::map<std::uint64_t, logged_report> m_reports;
    std::set<std::uint64_t> m_accepted;
    /// Newest window that the record of each key concerns.
    std::map<std::string, std::uint64_t, std::less<>> m_lastWindows;
};

}
