#pragma once

#include "partitionwriter.h"
#include "topicfollower.h"

#include <core/membership.h>
#include <rollout/peertable.h>
#include <wire/gossipsocket.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Finds the other daemons and exchanges messages with them.
///
/// A daemon announces its gossip address in a topic of the log, where the others find it; from then on gossip tells which
/// daemons are alive, also while the log is away.
class fleet_link {
public:
    struct handlers {
        /// The daemons that are alive have changed.
        std::function<void()> onChanged;
        /// The daemon on \a vm sent \a payload.
        std::function<void(const std::string& vm, std::string_view payload)> onPayload;
    };

    /// \a local: this daemon, with its gossip address; without an address it knows no other daemon.
    fleet_link(boost::asio::io_context& context, shared_log& log, member local, const std::string& instance, handlers handlers);

    /// Opens the socket for gossip.
    std::error_code open();
    void start();
    void tick();
    /// Tells the others that this daemon is leaving.
    void leave();

    void send(const std::string& vm, std::string payload);
    /// The daemons that are alive, except this one.
    std::vector<std::string> others() const;
    /// The daemons that are alive and take calls that others pass on, except this one.
    std::vector<peer> peers() const;
    /// Number of daemons that are alive, this one included.
    std::size_t visibleCount() const;
    const membership& view() const { return m_view; }
    const topic_follower& announcements() const { return m_announcements; }
    /// Whether a daemon was lost sight of in the last lostRetention.
    bool hasLost() const { return !m_lost.empty(); }
    /// Data centres of the daemons that were lost sight of in the last lostRetention.
    std::vector<std::string> lostDataCentres(instant now) const;
    const gossip_socket_counters& counters() const { return m_socket.counters(); }

    /// A daemon that is out of sight for longer is no longer expected to send requests to replicas.
    static constexpr duration lostRetention = std::chrono::seconds(15);

private:
    void applyAnnouncements(std::span<const keyed_record> records);
    void handle(const membership_event& event);
    void noteChange(const member_changed& change);
    std::string dataCentreOf(std::string_view vm) const;

    member m_local;
    handlers m_handlers;
    gossip_socket m_socket;
    membership m_view;
    topic_follower m_announcements;
    partition_writer m_writer;
    std::map<std::string, vm_list_entry, std::less<>> m_entries;
    std::uint64_t m_listRevision = 0;
    struct lost_daemon {
        std::string dataCentre;
        instant since {};
    };
    /// Daemons out of sight.
    std::map<std::string, lost_daemon, std::less<>> m_lost;
    instant m_nextTick {};
};

}
