#pragma once

#include <core/instant.h>

#include <optional>

namespace ragwortreach {

/// Times of a graceful shutdown: which requests are still taken, and when answers, connections and the process end.
///
/// Until the load balancer has noticed that the daemon is not ready, a caller that is refused may be routed to it again.
/// After that only callers with open connections reach it, and those find another daemon at once.
class drain_plan {
public:
    /// Begins the shutdown. The process is killed \a stopTime later.
    void begin(instant now, duration stopTime);
    bool hasBegun() const { return m_begunAt.has_value(); }

    /// Whether a request is taken that arrives at \a now. \a longest: time after which it ends in any case; \a usual: time
    /// that requests of its kind need, zero while it is unknown.
    bool mayTake(duration longest, duration usual, instant now) const;
    /// Whether callers with new connections are routed to other daemons.
    bool isOutOfRotation(instant now) const;
    /// Whether the process may end once nothing is open.
    bool mayEnd(instant now) const;
    /// Time at which requests without an answer get a final one; the end of time while the shutdown has not begun.
    instant answersEnd() const;
    /// Whether the process has to end, whatever is open.
    bool isOver(instant now) const;

private:
    std::optional<instant> m_begunAt;
    duration m_stopTime {};
};

}
