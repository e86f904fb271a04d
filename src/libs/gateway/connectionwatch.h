#pragma once

#include <core/instant.h>
#include <net/connectionguard.h>

#include <optional>

namespace ragwortreach {

class log;

/// Writes a log line for each kind of connection that was closed for a bound of the process, at most one a second.
class connection_watch {
public:
    connection_watch(const connection_guard& guard, log& log);

    void tick(instant now);

private:
    const connection_guard& m_guard;
    log& m_log;
    connection_counters m_logged;
    std::optional<instant> m_loggedAt;
};

}
