#include "connectionwatch.h"

#include <support/log.h>
#include <support/logline.h>

#include <string_view>

namespace ragwortreach {

namespace {

    constexpr duration lineInterval = std::chrono::seconds(1);

    struct closing_kind {
        std::string_view reason;
        std::uint64_t connection_counters::*counter;
    };

    constexpr closing_kind kinds[] = {
        { "unfinished requests hold too many bytes", &connection_counters::closedForBytes },
        { "pipelined requests were discarded", &connection_counters::pipelinesDiscarded },
        { "unread answers hold too many bytes", &connection_counters::closedForUnread },
        { "unfinished bodies take the room of others", &connection_counters::closedForBodies },
        { "too many connections", &connection_counters::closedForCount },
        { "a connection could not be accepted", &connection_counters::acceptsFailed },
        { "the head is too large", &connection_counters::headersTooLarge },
        { "the request is malformed", &connection_counters::malformed },
    };

}

connection_watch::connection_watch(const connection_guard& guard, log& log)
    : m_guard(guard)
    , m_log(log)
{
}

void connection_watch::tick(instant now)
{
    if (m_loggedAt && now - *m_loggedAt < lineInterval)
        return;
    for (const closing_kind& kind : kinds) {
        const std::uint64_t count = m_guard.counters().*kind.counter;
        std::uint64_t& logged = m_logged.*kind.counter;
        if (count == logged)
            continue;
        m_log.write(log_line(log_level::Warning, "callers_limited")
                        .with("reason", kind.reason)
                        .with("count", count - logged)
                        .with("connections", m_guard.connections())
                        .with("unfinished_bytes", m_guard.unfinishedBytes()));
        logged = count;
        m_loggedAt = now;
    }
}

}
