#pragma once

#include "replicapool.h"

#include <core/instant.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// How an attempt to reach a replica failed.
enum class access_failure {
    /// The connection was refused or reset.
    Refused,
    /// A new connection was not established in time.
    ConnectTimedOut,
    /// An open connection brought no part of an answer in time. The replica may just be slow.
    Silent,
};

/// Judges by attempts and checks whether this daemon reaches replicas at all.
///
/// The paths of one VM to all replicas may be cut while callers and other daemons reach it. A failed attempt may also come
/// from its replica alone. So a failure is followed by checks, connections to other replicas, and access counts as lost when
/// these have failed, too, and two replicas were not reached since one was. Only new connections prove access: open ones may live on while
/// new ones are refused. While access is lost one replica after the other is checked until one is reached.
class replica_access {
public:
    /// Replicas that have to be out of reach; fewer when fewer are listed.
    static constexpr std::size_t requiredFailures = 2;
    /// Time between two checks while access is lost.
    static constexpr duration checkInterval = std::chrono::milliseconds(250);
    /// Slow answers are no reason for a check for this time after a replica was reached.
    static constexpr duration reachedRetention = std::chrono::seconds(1);

    /// Sets the number of replicas that are listed.
    void setListed(std::size_t replicas) { m_listed = replicas; }
    /// A new connection to a replica was established.
    void noteReached(instant now);
    /// An attempt that began at \a begunAt failed.
    void noteFailure(std::string_view replica, access_failure failure, instant begunAt);
    /// A check that began at \a begunAt failed.
    void noteCheckFailure(std::string_view replica, access_failure failure, instant begunAt);
    /// Another daemon has lost its access, so this one checks its own.
    void noteOtherLost(instant now);

    bool isLost() const { return m_isLost; }
    /// Whether the last attempt hung and no replica was reached since, so that further ones may hang, too.
    bool isDoubtful() const { return m_isDoubtful; }
    /// Replicas in \a pool to connect to now. Each check has to end with noteReached() or noteCheckFailure().
    std::vector<replica_instance> takeChecks(const replica_pool& pool, instant now);

private:
    bool wasReachedRecently(instant time) const { return m_reachedAt && time - *m_reachedAt < reachedRetention; }

    std::size_t m_listed = 0;
    std::optional<instant> m_reachedAt;
    /// Replicas that were not reached since.
    std::set<std::string, std::less<>> m_failed;
    bool m_isLost = false;
    bool m_isDoubtful = false;
    std::size_t m_wantedChecks = 0;
    /// Checks that have been taken and have not ended, since a replica was reached.
    std::size_t m_openChecks = 0;
    instant m_checkedAt {};
    /// Replica that was checked last.
    std::string m_lastChecked;
};

}
