#pragma once

#include "topicfollower.h"

#include <rollout/replicahistory.h>
#include <rollout/replicapool.h>
#include <rollout/routetable.h>

#include <functional>
#include <string>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct view_counters {
    std::uint64_t configurations = 0;
    std::uint64_t replicaEntries = 0;
    /// Of these, older than one that was read before.
    std::uint64_t lateEntries = 0;
    /// Records that were skipped, among them those of the operators that are larger than this daemon takes.
    std::uint64_t unreadable = 0;
};

/// Follows the topics of the platform and applies them to the route table and the replica pool: the configuration set by
/// the operators, the weight versions named by trainers, and the list of replicas.
class platform_view {
public:
    struct handlers {
        std::function<void()> onConfiguration;
        std::function<void(const std::string& model, std::uint64_t version)> onVersionNamed;
    };

    platform_view(boost::asio::io_context& context, shared_log& log, route_table& routes, replica_pool& pool, ragwortreach::log& logger,
        handlers handlers);

    void start();
    /// Whether a configuration is in force and the list of replicas was read.
    bool isReady() const { return m_routes.isReady() && m_replicas.isReady(); }
    /// Sets the memory of the VM, which bounds the configuration; empty when it is not known.
    void setMemory(std::optional<std::size_t> memoryBytes);
    /// Largest configuration that a daemon with \a memoryBytes of memory takes, in bytes of its text.
    static std::size_t maxConfigurationBytes(std::size_t memoryBytes);
    /// Sets the time between two heartbeats of a replica.
    void setReplicaHeartbeat(duration heartbeat) { m_history.setHeartbeat(heartbeat); }
    void setReplicaPollInterval(duration pollInterval) { m_replicas.setPollInterval(pollInterval); }
    /// Removes replicas that were not listed again after an outage of the list. To be called periodically.
    void tick();
    const view_counters& counters() const { return m_counters; }
    const topic_follower& operators() const { return m_operators; }
    const topic_follower& replicas() const { return m_replicas; }

private:
    class operator_visitor;

    void applyOperatorRecords(std::span<const keyed_record> records);
    /// Tells the route table that the log serves, and that its configuration is current, unless there is none or the newest
    /// one cannot be read.
    void confirmConfiguration();
    /// The newest configuration may be one that this daemon has no memory for.
    void applyOversized(const oversized_record& record);
    void applyReplicaSnapshot(std::span<const keyed_record> all);
    void applyReplicaRecords(std::span<const keyed_record> records);
    void applyReplicaRecord(const keyed_record& record);
    /// Applies an entry that is the newest one of its replica.
    void listReplica(const replica_entry& entry, entry_standing standing, std::uint64_t offset);
    /// Skips an entry of another writer. A replica that is alive writes the next one soon.
    void skipReplicaRecord(const keyed_record& record);
    void removeReplica(const std::string& id);
    /// Logs and counts a record that cannot be decoded.
    void reportUnreadable(const keyed_record& record, std::string_view reason = {});

    route_table& m_routes;
    replica_pool& m_pool;
    ragwortreach::log& m_logger;
    handlers m_handlers;
    topic_follower m_operators;
    topic_follower m_replicas;
    replica_history m_history;
    bool m_isConfigurationReadable = true;
    view_counters m_counters;
};

}
