#pragma once

#include "leasetable.h"

#include <core/instant.h>

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// How up to date this process is with the lease records.
struct lease_view {
    /// All records written before this time are applied.
    instant confirmedAt {};
    /// End of the last outage during which the records could not be read.
    instant regainedAt {};
};

struct lease_options {
    /// Minimum time between the acts of two holders when the former one did not release its lease. After a release it
    /// applies only to the replicas that got an order shortly before.
    duration takeoverDelay {};
    /// Processor share of this VM in cores. The smaller it is, the longer the process delays its claims, so that larger
    /// VMs come first.
    double processorShare = 1;
    /// Records that no reader needs stay in the log for this time at least.
    duration recordRetention = lease_table::formerHolderRetention;
};

/// Claims, renews and releases the leases of one process.
///
/// Processes are restarted in turn, killed, frozen or cut off from the log, often several within a short time. A lease
/// stays with its holder as long as the holder renews it, so that work does not move when other processes start and
/// stop. A holder that shuts down releases its leases, and another process takes over at once. When a process ends without
/// a release, the next one on its VM claims the lease at once, unless processes there keep ending soon after their claims.
class lease_agent {
public:
    static constexpr duration renewInterval = lease_table::renewInterval;
    /// Time during which the holder may act, counted from the sending of its last renewal.
    static constexpr duration validity = std::chrono::milliseconds(1000);
    /// A holder without a new record for this time is considered failed.
    static constexpr duration heartbeatTimeout = std::chrono::milliseconds(1800);
    /// A process that ends sooner after its claim may have ended because of the work that came with the lease. After the
    /// second one in a row, the VM leaves the lease to others.
    static constexpr duration minTenure = std::chrono::seconds(10);
    static constexpr std::uint32_t maxShortTenures = 2;
    /// Time that the others get to claim such a lease.
    static constexpr duration shortTenureDelay = std::chrono::seconds(3);
    /// Longest time that a weight load order may take to arrive: its sender abandons it then, and the next holder waits
    /// for this time.
    static constexpr duration maxOrderTransitTime = std::chrono::milliseconds(300);

    lease_agent(const lease_table& table, lease_party self, const lease_options& options);

    void setOptions(const lease_options& options) { m_options = options; }
    /// Sets the names of all leases. The holder of the first one also removes obsolete records from the log.
    void setLeases(std::vector<std::string> leases) { m_leases = std::move(leases); }
    /// Returns the claims and renewals to write now. Nothing more is returned until onWritten() was called.
    std::vector<lease_record> tick(const lease_view& view, instant now);
    /// Reports that the write of the last tick()'s records succeeded or failed for good at \a now.
    void onWritten(instant now);
    /// Notes a record that was applied to the table. Only a renewal that was read back from the log proves that no
    /// claim of another process precedes it.
    void onRead(const lease_record& record);
    /// Releases all leases, for a graceful shutdown. Returns the record to write; none if the process never claimed a
    /// lease.
    std::optional<lease_release> release(instant now);

    bool holdsAny() const { return m_table.countHeldBy(m_self) > 0; }
    bool isHeld(std::string_view lease) const { return m_table.isHeldBy(lease, m_self); }
    /// Time after which records that are obsolete may be removed.
    duration recordRetention() const { return std::max(m_options.recordRetention, takeoverWait()); }
    /// Whether it falls to this process to remove obsolete records from the log.
    bool removesRecords() const { return !m_isReleased && !m_leases.empty() && isHeld(m_leases.front()); }
    /// Whether this process may act as the holder now, except on the replicas of barredReplicas(). Call it right before
    /// each act.
    bool mayAct(std::string_view lease, instant now) const;
    /// Replicas that must not get an order yet, since a former holder sent them one shortly before its release.
    std::vector<std::string> barredReplicas(std::string_view lease, instant now) const;
    /// Notes an order to \a replica, so that release() can report it to the next holder.
    void noteOrder(std::string_view replica, instant now);
    /// Number that grows with each change of the holder; sent with each order.
    std::uint64_t fencingToken(std::string_view lease) const;

private:
    /// Number of processes on this VM that ended soon after their claims, as of the claim that would come next.
    std::uint32_t shortTenures(const lease_state& state) const;
    bool isClaimable(const lease_state& state, const lease_view& view, instant now) const;
    /// Whether the outcome of this process's last claim is still unknown.
    bool hasUndecidedClaim(const lease_view& view) const { return view.confirmedAt <= m_claimWrittenAt; }
    duration takeoverWait() const { return validity + m_options.takeoverDelay + maxOrderTransitTime; }
    duration claimDelay(std::string_view lease) const;

    const lease_table& m_table;
    lease_party m_self;
    lease_options m_options;
    std::vector<std::string> m_leases;
    std::map<std::string, instant, std::less<>> m_claimableSince;
    std::map<std::string, instant, std::less<>> m_ordersAt;
    /// Sending times of the renewals that were not read back yet, by number.
    std::map<std::uint64_t, instant> m_renewals;
    std::uint64_t m_lastRenewal = 0;
    instant m_validUntil {};
    instant m_renewedAt {};
    instant m_claimedAt {};
    /// Time at which the write of the last claim ended.
    instant m_claimWrittenAt {};
    bool m_isWriting = false;
    /// The records that are being written contain a claim.
    bool m_isWritingClaim = false;
    bool m_isReleased = false;
    bool m_hasClaimed = false;
};

}
