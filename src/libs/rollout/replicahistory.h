#pragma once

#include "replicapool.h"

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// What an entry of the platform's list says, compared with what was read of its replica before.
enum class entry_standing {
    Current,
    /// The same instance as an entry that was removed: it was silent for a while, or it has left and the entry was written
    /// before.
    Returned,
    /// Older than an entry that was read before.
    Late,
    /// It names no start though the replica does, so another writer wrote it.
    Foreign,
};

/// Name of \a standing in log lines.
std::string_view toString(entry_standing standing);

/// Order of the entries that replicas write into the platform's list.
///
/// An entry may be written seconds after it was sent, so the last one in the log is not always the newest one. Entries are
/// ordered by the start of the replica and, within one start, by their numbers.
///
/// Neither is proof on its own: a clock may be set back, and the log lists only those entries that change something, so a
/// replica that lives does not always write another one. So a late entry is held back, and counts once it has stood for a
/// while: a replica that lives elsewhere overwrites it, and the platform removes one that nobody renews.
class replica_history {
public:
    static constexpr duration defaultHeartbeat = std::chrono::milliseconds(1200);
    /// Heartbeats of a replica for which a late entry has to stand. The platform removes the entry of a replica that has been
    /// silent for three.
    static constexpr int confirmingHeartbeats = 4;
    /// Time for which a replica is remembered that is no longer listed.
    static constexpr duration retention = std::chrono::minutes(10);
    static constexpr std::size_t maxReplicas = 4096;

    /// Sets the time between two heartbeats of a replica.
    void setHeartbeat(duration heartbeat) { m_confirmationTime = confirmingHeartbeats * heartbeat; }
    duration confirmationTime() const { return m_confirmationTime; }

    /// Notes an entry that was read at \a now. A late one is held back.
    entry_standing note(const replica_entry& entry, instant now);
    /// Notes that the entry of \a id was removed at \a now while the list was in order.
    void noteRemoved(std::string_view id, instant now);
    /// Returns the entries that were held back and have stood, which are current from now on.
    std::vector<replica_entry> takeConfirmed(instant now);
    /// Forgets replicas that have not been listed for long.
    void forgetOld(instant now);

    std::size_t size() const { return m_replicas.size(); }

private:
    struct late_entry {
        replica_entry entry;
        instant readAt {};
    };
    struct replica {
        /// Newest start, and the highest number of its entries.
        std::int64_t startedAt = 0;
        std::uint64_t number = 0;
        /// Set while it is not listed.
        std::optional<instant> removedAt;
        std::optional<late_entry> late;
    };

    static bool isLate(const replica& known, const replica_entry& entry);

    duration m_confirmationTime = confirmingHeartbeats * defaultHeartbeat;
    std::map<std::string, replica, std::less<>> m_replicas;
};

}
