#include "workwatch.h"

#include "bootclock.h"

#include <support/log.h>
#include <support/logline.h>

#include <algorithm>

namespace ragwortreach {

namespace {

    constexpr duration halfSecond = std::chrono::milliseconds(500);
    /// Work that is begun with an older ledger or configuration gets a line.
    constexpr duration maxUnloggedAge = std::chrono::seconds(1);

}

std::string_view toString(work_kind kind)
{
    switch (kind) {
    case work_kind::Item:
        return "item";
    case work_kind::Reward:
        return "reward";
    }
    return "unknown";
}

work_watch::work_watch(const batch_ledger& ledger, const route_table& routes, log& logger)
    : m_ledger(ledger)
    , m_routes(routes)
    , m_logger(logger)
{
}

void work_watch::noteBegun(work_kind kind, const ledger_batch& batch, std::string_view item, std::string_view replica)
{
    const instant now = bootNow();
    const duration age = now - m_ledger.confirmedAt(batch).value_or(instant {});
    const duration configurationAge = now - m_routes.confirmedAt();
    ++m_counters.begun;
    m_counters.olderThanHalfSecond += age > halfSecond ? 1U : 0U;
    m_counters.olderThanOneSecond += age > maxUnloggedAge ? 1U : 0U;
    m_counters.greatestAge = std::max(m_counters.greatestAge, static_cast<std::uint64_t>(age.count()));
    m_counters.behindConfiguration += configurationAge > maxUnloggedAge ? 1U : 0U;
    if (std::max(age, configurationAge) <= maxUnloggedAge)
        return;
    m_logger.write(log_line(log_level::Info, "work_begun_behind")
                       .with("kind", toString(kind))
                       .with("batch", batch.submission.id)
                       .with("item", item)
                       .with("replica", replica)
                       .with("ledger_age_us", age.count())
                       .with("configuration", m_routes.version())
                       .with("configuration_age_us", configurationAge.count()));
}

}
