#include "journalfleet.h"

#include <gateway/pollintervals.h>

#include <algorithm>

namespace ragwortreach {

journal_fleet::daemon::daemon(journal_fleet& fleet, const std::string& name)
    : m_log(fleet.m_time, fleet.m_log)
    , m_journal(fleet.m_context, m_log, {}, name, [](const ledger_batch&) {})
{
    m_journal.setPollInterval(idlePollIntervals.journal);
}

journal_fleet::journal_fleet(std::size_t size, std::uint64_t bytesPerSecond, duration history)
    : m_time(m_context)
    , m_log(m_time, { bytesPerSecond * size, rated_log_options().callTime, history })
    , m_writer(*this, "vm-99999-1764979200000000")
{
    for (std::size_t number = 0; number < size; ++number)
        m_daemons.push_back(std::make_unique<daemon>(*this, "vm-" + std::to_string(10000 + number) + "-1764979200000000"));
}

void journal_fleet::start()
{
    for (const std::unique_ptr<daemon>& each : m_daemons)
        each->batches().start();
}

std::size_t journal_fleet::countOlder(duration maxAge) const
{
    const auto isOlder = [maxAge](const std::unique_ptr<daemon>& each) { return each->age() > maxAge; };
    return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), isOlder));
}

duration journal_fleet::greatestAge() const
{
    duration greatest {};
    for (const std::unique_ptr<daemon>& each : m_daemons)
        greatest = std::max(greatest, each->age());
    return greatest;
}

}
