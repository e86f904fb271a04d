#pragma once

#include "leasetable.h"

#include <core/instant.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// How far this process follows the records of leases.
struct lease_view {
    /// All records until then are applied.
    instant confirmedAt {};
    /// When the records could be read again after an outage.
    instant regainedAt {};
};

struct lease_options {
    /// Separates the acts of two holders, where the former one did not release its lease.
    duration holderPause {};
    /// Part of a core that this VM has. The smaller it is, the longer the process leaves a lease to others.
    double processorShare = 1;
};

/// Claims, keeps and gives up the leases of one process.
///
/// Load pattern: processes are stopped in turn, killed, frozen, and cut off from the log, often several shortly one
/// after the other. A lease stays with its holder as long as that renews it, so that work does not move when other
/// processes come and go; a holder that stops releases it, and another process goes on at once.
class lease_agent {
public:
    static constexpr duration renewInterval = lease_table::renewInterval;
    /// From the sending of a renewal, the holder may act for so long.
    static constexpr duration validity = std::chrono::milliseconds(1000);
    /// A holder without a record for so long is taken to be gone.
    static constexpr duration silence = std::chrono::milliseconds(1800);
    /// An order may take so long to arrive. The next holder waits for it, so its sender gives it up after this time.
    static constexpr duration maxOrderTransitTime = std::chrono::milliseconds(300);

    lease_agent(const lease_table& table, lease_party self, const lease_options& options);

    void setOptions(const lease_options& options) { m_options = options; }
    /// Leases that there are.
    void setLeases(std::vector<std::string> leases) { m_leases = std::move(leases); }
    /// Records that are due now. onWritten() has to follow each time.
    std::vector<lease_record> tick(const lease_view& view, instant now);
    /// The records of the last tick stand in the log, or will not.
    void onWritten() { m_isWriting = false; }
    /// Notes a record that the fold has taken. Only a renewal that was read back proves that no claim stands before it.
    void onRead(const lease_record& record);
    /// Gives up all leases, for a graceful shutdown.
    lease_release release(instant now);

    bool holdsAny() const { return m_table.heldBy(m_self) > 0; }
    bool isHeld(std::string_view lease) const { return m_table.isHeldBy(lease, m_self); }
    /// Whether the holder may act now, on anything but what barredReplicas() names. To be asked right before the act.
    bool mayAct(std::string_view lease, instant now) const;
    /// Replicas that took an order of the former holder a short while ago.
    std::vector<std::string> barredReplicas(std::string_view lease, instant now) const;
    /// Notes an order, so that the next holder learns of it.
    void noteOrder(std::string_view replica, instant now);
    /// Grows from holder to holder; sent with each order.
    std::uint64_t fencingToken(std::string_view lease) const;

private:
    bool isClaimable(const lease_state& state, const lease_view& view, instant now) const;
    duration claimDelay(std::string_view lease) const;

    const lease_table& m_table;
    lease_party m_self;
    lease_options m_options;
    std::vector<std::string> m_leases;
    std::map<std::string, instant, std::less<>> m_claimableSince;
    std::map<std::string, instant, std::less<>> m_ordersAt;
    /// When the renewals that were not read back yet were sent, by their numbers.
    std::map<std::uint64_t, instant> m_renewals;
    std::uint64_t m_lastRenewal = 0;
    instant m_validUntil {};
    instant m_renewedAt {};
    instant m_claimedAt {};
    bool m_isWriting = false;
    bool m_isReleased = false;
};

}
