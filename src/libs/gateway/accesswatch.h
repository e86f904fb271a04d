#pragma once

#include "bootclock.h"

#include <rollout/callpeers.h>
#include <rollout/replicaaccess.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwortreach {

class fact_exchange;
class log;

/// Totals since the start of the process.
struct access_counters {
    /// Connections that were opened to see whether replicas can be reached.
    std::uint64_t checks = 0;
    /// Times that the paths to all replicas were lost.
    std::uint64_t losses = 0;
};

/// Finds out whether this daemon reaches replicas, tells the other daemons whether it takes their calls, and chooses those that
/// take its own meanwhile.
class access_watch : public call_peers {
public:
    access_watch(boost::asio::io_context& context, fact_exchange& facts, const replica_pool& pool, std::string vm, log& log);
    ~access_watch() override;

    bool hasAccess() const override;
    bool isAccessDoubtful() const override;
    std::optional<peer> choosePeer(std::span<const std::string> excluded) override;
    void notePeerFailed(std::string_view vm) override;

    /// Whether another daemon should do the work that this one cannot do without replicas.
    bool shouldLeaveWork() const;
    /// Sets whether calls may be routed by the configuration of this daemon. While not, the others pass no calls on to it.
    void setMayRoute(bool mayRoute) { m_mayRoute = mayRoute; }
    /// Starts the checks that are due, and tells the others of changes. To be called periodically.
    void tick();
    const access_counters& counters() const { return m_counters; }

private:
    struct check;

    void start(const replica_instance& replica);
    void finish(std::uint64_t number, std::optional<access_failure> failure);
    void tellOthers(instant now);

    boost::asio::io_context& m_context;
    fact_exchange& m_facts;
    const replica_pool& m_pool;
    std::string m_vm;
    log& m_log;
    std::map<std::uint64_t, std::unique_ptr<check>> m_checks;
    std::uint64_t m_lastCheck = 0;
    bool m_mayRoute = true;
    /// Whether access was lost at the last statement, which was made at m_saidAt.
    bool m_wasLost = false;
    instant m_saidAt {};
    access_counters m_counters;
};

}
