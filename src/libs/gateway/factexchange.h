#pragma once

#include "fleetlink.h"

#include <rollout/factspread.h>
#include <rollout/permitagent.h>
#include <rollout/replicagate.h>
#include <rollout/replicapool.h>
#include <rollout/requestquarantine.h>
#include <rollout/routetable.h>
#include <rollout/streamnote.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

class log;

/// Totals since the start of the process.
struct fact_counters {
    /// Facts that changed what this daemon knew, from answers to it and from other daemons.
    std::uint64_t learned = 0;
    std::uint64_t received = 0;
    /// Messages of other daemons that cannot be read.
    std::uint64_t malformed = 0;
};

/// Exchanges with the other daemons what answers told about replicas and requests and which configuration each has read, and
/// gets permits for limited replicas.
class fact_exchange : public replica_gate {
public:
    /// \a onPermit is called when a permit for a scheduler has arrived.
    fact_exchange(boost::asio::io_context& context, shared_log& log, replica_pool& pool, route_table& routes, member local, const std::string& instance,
        ragwortreach::log& logger, std::function<void()> onPermit);

    std::error_code open() { return m_link.open(); }
    void start() { m_link.start(); }
    void tick();
    void leave() { m_link.leave(); }

    void noteLimit(const replica_instance& replica, std::optional<double> perSecond) override;
    void noteLeaving(const replica_instance& replica) override;
    void noteUnreached(const replica_instance& replica, access_failure failure, instant begunAt) override;
    permit_number ask(std::vector<replica_instance> replicas, duration maxWait, std::function<void(const permit_outcome&)> onOutcome) override;
    void cancel(permit_number number) override;

    /// Merges what an answer to this daemon, or the end of a replica under its request, showed, and passes it on if it is news.
    void learnFromAnswer(const fact& item) { learn(item, answerSource); }
    /// Passes on that this daemon has read \a version of the configuration.
    void learnConfiguration(std::uint64_t version) { learn(configuration_read { version, bootNow() }, logSource); }
    /// What this daemon knows of its own access to replicas.
    replica_access& access() { return m_access; }
    /// The other daemons, with what they say of their access.
    peer_table& peers() { return m_peers; }
    const request_quarantine& quarantine() const { return m_quarantine; }
    /// Whether no daemon was lost sight of a short time ago.
    bool isFleetInSight() const { return !m_link.hasLost(); }

    /// What the exchange passes on about the streams of callers.
    struct stream_handlers {
        /// The daemons that are alive have changed.
        std::function<void(const owner_map& daemons)> onDaemons;
        /// The daemon on \a vm sent \a message.
        std::function<void(const std::string& vm, const stream_message& message)> onMessage;
    };
    void setStreamHandlers(stream_handlers handlers) { m_streamHandlers = std::move(handlers); }
    void send(const std::string& vm, const stream_message& message);

    const permit_counters& permits() const { return m_agent.counters(); }
    const fact_counters& counters() const { return m_counters; }
    const gossip_socket_counters& traffic() const { return m_link.counters(); }
    std::size_t daemons() const { return m_link.visibleCount(); }
    const topic_follower& announcements() const { return m_link.announcements(); }

private:
    /// Source of what an answer to this daemon told.
    static constexpr std::string_view answerSource = "answer";
    /// Source of what this daemon read from the log.
    static constexpr std::string_view logSource = "log";

    void updateDaemons();
    permit_agent::replica_sight sightOf(const replica_instance& replica) const;
    void receive(const std::string& vm, std::string_view payload);
    /// Merges \a item and passes it on if it is news. \a source: answerSource, logSource, or the VM that passed it on.
    void learn(const fact& item, std::string_view source);
    bool merge(const fact& item, instant now);
    bool mergeAccess(const access_statement& statement, instant now);
    std::vector<fact> allFacts() const;
    void log(const fact& item, std::string_view source, instant now);
    void askForSchedulers(instant now);
    void onSchedulerPermit(const permit_want& want, const permit_outcome& outcome);
    void logPermitUse(instant now);
    /// Calls executeEffects() from the event loop, once for all that was learned or asked for until then.
    void scheduleEffects();
    /// Sends what is news and carries out the effects of the agent.
    void executeEffects();
    void send(std::span<const fact_delivery> deliveries);
    void finish(permit_number number, const permit_outcome& outcome);

    boost::asio::io_context& m_context;
    replica_pool& m_pool;
    route_table& m_routes;
    ragwortreach::log& m_logger;
    std::function<void()> m_onPermit;
    stream_handlers m_streamHandlers;
    request_quarantine m_quarantine;
    replica_access m_access;
    peer_table m_peers;
    permit_agent m_agent;
    fact_spread m_spread;
    fleet_link m_link;
    std::map<permit_number, std::function<void(const permit_outcome&)>> m_waiting;
    /// Asks under way for the schedulers.
    std::map<permit_want, permit_number> m_wants;
    bool m_areEffectsScheduled = false;
    instant m_permitUseLoggedAt {};
    fact_counters m_counters;
};

}
