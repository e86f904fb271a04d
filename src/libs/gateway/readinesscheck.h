#pragma once

#include <core/instant.h>

#include <string_view>

namespace ragwortreach {

class drain_plan;
class http_exchange;
class journal;
class log;
class platform_view;
class route_table;

/// Decides whether the platform may send new callers to this daemon, answers its check, and logs changes with their reasons.
class readiness_check {
public:
    readiness_check(const drain_plan& drain, const platform_view& view, const route_table& routes, const journal& batches, log& logger);

    bool isReady() const { return unreadyReason().empty(); }
    void answer(const http_exchange& exchange) const;
    /// Logs a change of the answer or of its reason. To be called periodically.
    void tick();

private:
    /// Why the configuration must not be used; empty when it may be.
    std::string_view outdatedReason() const;
    std::string_view unreadyReason() const;

    const drain_plan& m_drain;
    const platform_view& m_view;
    const route_table& m_routes;
    const journal& m_batches;
    log& m_logger;
    instant m_startedAt;
    std::string_view m_loggedReason = "not started";
};

}
