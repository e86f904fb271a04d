#include "readinesscheck.h"

#include "bootclock.h"
#include "errorresponses.h"
#include "journal.h"
#include "platformview.h"

#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/drainplan.h>
#include <rollout/routetable.h>
#include <support/log.h>
#include <support/logline.h>

#include <utility>

namespace ragwortreach {

namespace {

    /// A daemon whose ledger was confirmed longer ago reports that it is not ready, so that callers reach others.
    constexpr duration maxLedgerAge = std::chrono::milliseconds(1500);
    constexpr duration retryDelay = std::chrono::milliseconds(200);
    constexpr std::string_view nothingReadReason = "no configuration or list of replicas has been read";
    constexpr int okStatus = 200;
    constexpr int notFoundStatus = 404;

}

readiness_check::readiness_check(const drain_plan& drain, const platform_view& view, const route_table& routes, const journal& batches, log& logger)
    : m_drain(drain)
    , m_view(view)
    , m_routes(routes)
    , m_batches(batches)
    , m_logger(logger)
    , m_startedAt(bootNow())
{
}

std::string_view readiness_check::outdatedReason() const
{
    switch (m_routes.state(bootNow())) {
    case configuration_state::Current:
        return "";
    case configuration_state::Missing:
        return nothingReadReason;
    case configuration_state::Superseded:
        return "a newer configuration is in force";
    case configuration_state::TooLarge:
        return "the newest configuration is larger than this daemon has memory for";
    case configuration_state::Unconfirmed:
        return "the log has not shown whether a newer configuration is in force";
    }
    return "";
}

std::string_view readiness_check::unreadyReason() const
{
    if (m_drain.hasBegun())
        return "stopping";
    if (!m_view.isReady())
        return nothingReadReason;
    const std::string_view outdated = outdatedReason();
    if (!outdated.empty())
        return outdated;
    if (!m_batches.isReady())
        return "the journal has not been read";
    return bootNow() - m_batches.confirmedAt() < maxLedgerAge ? "" : "the ledger is behind the log";
}

void readiness_check::answer(const http_exchange& exchange) const
{
    if (!platform::isReadinessCheck(exchange.request()))
        exchange.respond(failureResponse(notFoundStatus, result_code::UnknownRoute, "There is no such page."));
    else if (isReady())
        exchange.respond({ okStatus, {}, "ready\n" });
    else
        exchange.respond(refusalResponse(result_code::Draining, "The daemon is not ready.", retryDelay));
}

void readiness_check::tick()
{
    const std::string_view reason = unreadyReason();
    if (reason == std::exchange(m_loggedReason, reason))
        return;
    const snapshot_counters snapshots = m_batches.snapshots();
    const duration sinceStart = bootNow() - m_startedAt;
    m_logger.write(log_line(log_level::Info, "readiness_changed")
                       .with("ready", reason.empty())
                       .with("reason", reason)
                       .with("configuration", m_routes.version())
                       .with("since_start_us", sinceStart.count())
                       .with("journal_snapshots", snapshots.snapshots)
                       .with("journal_pages", snapshots.pages)
                       .with("journal_bytes", snapshots.bytes)
                       .with("journal_failed_pages", snapshots.failedPages));
}

}
