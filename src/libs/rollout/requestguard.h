#pragma once

#include "replicalimit.h"
#include "requestquarantine.h"

#include <string>

namespace ragwortreach {

/// How an attempt ended before any part of the answer had arrived.
enum class interruption {
    /// The connection broke.
    Broken,
    /// The time of the attempt was over; the replica may still run the request.
    TimedOut,
};

/// Interface by which calls learn whether a request may be sent to a replica, and report how requests ended.
class request_guard {
public:
    virtual ~request_guard() = default;

    virtual request_standing standingOf(const request_digest& request) const = 0;
    /// Whether this daemon hears of crashes that others see. While daemons are out of sight, they may have seen the last
    /// crash that a request is allowed.
    virtual bool isFleetInSight() const = 0;
    /// An attempt of \a request at \a replica ended before any part of the answer had arrived.
    virtual void noteInterrupted(const request_digest& request, const replica_instance& replica, const std::string& address, interruption kind) = 0;
    /// A replica answered \a request.
    virtual void noteAnswered(const request_digest& request) = 0;
};

}
