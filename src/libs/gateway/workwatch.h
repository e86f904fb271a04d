#pragma once

#include <rollout/batchledger.h>
#include <rollout/routetable.h>

#include <cstdint>
#include <string_view>

namespace ragwortreach {

class log;

/// Work on the items of a batch that a replica begins.
enum class work_kind {
    Item,
    Reward,
};

/// Name of \a kind in log lines.
std::string_view toString(work_kind kind);

/// How much work was begun, by the age of what was known of its batch and of the routes; since the start of the process.
struct work_counters {
    std::uint64_t begun = 0;
    std::uint64_t olderThanHalfSecond = 0;
    std::uint64_t olderThanOneSecond = 0;
    /// Greatest age, in microseconds.
    std::uint64_t greatestAge = 0;
    /// Sent with a configuration that was confirmed longer than a second ago.
    std::uint64_t behindConfiguration = 0;
};

/// Observes how old the ledger and the configuration are whenever an item or a reward call is sent to a replica. The batch
/// may have ended since, and its route may have changed.
class work_watch {
public:
    work_watch(const batch_ledger& ledger, const route_table& routes, log& logger);

    void noteBegun(work_kind kind, const ledger_batch& batch, std::string_view item, std::string_view replica);
    const work_counters& counters() const { return m_counters; }

private:
    const batch_ledger& m_ledger;
    const route_table& m_routes;
    log& m_logger;
    work_counters m_counters;
};

}
