#include "usageledger.h"

#include <algorithm>

namespace ragwortreach {

/// Applies one record; returns the newest window that it concerns.
class usage_visitor {
public:
    usage_visitor(usage_ledger& ledger, const std::string& key, std::uint64_t offset)
        : m_ledger(ledger)
        , m_key(key)
        , m_offset(offset)
    {
    }

    std::uint64_t operator()(const process_usage& usage) const
    {
        m_ledger.m_processes[m_key] = usage;
        std::uint64_t last = 0;
        for (const usage_window& window : usage.windows)
            last = std::max(last, window.number);
        return last;
    }

    std::uint64_t operator()(const usage_report& report) const
    {
        const auto known = m_ledger.m_reports.find(report.window);
        if (known == m_ledger.m_reports.end() || m_offset < known->second.offset)
            m_ledger.m_reports.insert_or_assign(report.window, usage_ledger::logged_report { report, m_offset });
        return report.window;
    }

    std::uint64_t operator()(const usage_accepted& accepted) const
    {
        m_ledger.m_accepted.insert(accepted.window);
        return accepted.window;
    }

private:
    usage_ledger& m_ledger;
    const std::string& m_key;
    std::uint64_t m_offset;
};

void usage_ledger::apply(const std::string& key, const std::optional<usage_record>& record, std::uint64_t offset)
{
    if (record) {
        m_lastWindows[key] = std::visit(usage_visitor(*this, key, offset), *record);
        return;
    }
    const auto known = m_lastWindows.find(key);
    if (known == m_lastWindows.end())
        return;
    // A process may have counted again while the removal of its last record was under way, so that record proves nothing
    // of the reports.
    if (m_processes.erase(key) == 0) {
        m_reports.erase(known->second);
        m_accepted.erase(known->second);
    }
    m_lastWindows.erase(known);
}

const usage_report* usage_ledger::reportOf(std::uint64_t window) const
{
    const auto found = m_reports.find(window);
    return found == m_reports.end() ? nullptr : &found->second.report;
}

usage_counts usage_ledger::sumOf(std::uint64_t window) const
{
    usage_counts sum;
    for (const std::pair<const std::string, process_usage>& process : m_processes) {
        for (const usage_window& counted : process.second.windows) {
            if (counted.number != window)
                continue;
            for (const std::pair<const std::string, std::uint64_t>& count : counted.counts)
                sum[count.first] += count.second;
        }
    }
    return sum;
}

bool usage_ledger::isClosed(std::uint64_t window) const
{
    return std::all_of(m_processes.begin(), m_processes.end(), [window](const std::pair<const std::string, process_usage>& process) {
        return std::all_of(process.second.windows.begin(), process.second.windows.end(),
            [window](const usage_window& counted) { return counted.number != window || counted.isClosed; });
    });
}

std::vector<std::string> usage_ledger::keysBefore(std::uint64_t window, std::size_t max) const
{
    std::vector<std::string> keys;
    for (const std::pair<const std::string, std::uint64_t>& item : m_lastWindows) {
        if (keys.size() < max && item.second < window)
            keys.push_back(item.first);
    }
    return keys;
}

}
