#pragma once

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Process that may hold leases: one process instance of the daemon on a VM.
struct lease_party {
    std::string vm;
    std::string instance;

    bool operator==(const lease_party&) const = default;
};

/// Weight load order that the holder sent shortly before it released its lease.
struct recent_order {
    std::string replica;
    /// Time between the order and the release.
    duration age {};
};

/// A process takes a lease from the holder whose claim is at the offset \a formerClaim; empty for a lease that was
/// never held.
struct lease_claim {
    std::string lease;
    lease_party party;
    std::optional<std::uint64_t> formerClaim;
    /// Number of the last renewal that the process sent before the claim.
    std::uint64_t renewals = 0;
    /// Number of processes on this VM that held the lease one after the other before this one, and that each ended soon after
    /// their claims.
    std::uint32_t shortTenures = 0;
};

/// A process renews all leases that it holds.
struct lease_renewal {
    lease_party party;
    /// Number of the renewal; grows by one with each renewal of the process.
    std::uint64_t number = 0;
};

/// A process releases all leases that it holds.
struct lease_release {
    lease_party party;
    std::vector<recent_order> recentOrders;
};

using lease_record = std::variant<lease_claim, lease_renewal, lease_release>;

/// Weight load order of a holder that has released the lease.
struct former_order {
    std::string replica;
    std::string vm;
    /// Estimated sending time; never earlier than the actual one.
    instant sentAt {};
    /// Time that has passed since, as far as the renewals of later holders prove it.
    duration provenAge {};
};

/// Holder that lost the lease without a release, since it no longer renewed it.
struct unresponsive_holder {
    std::string vm;
    /// Time at which this process read the newest record of the holder.
    instant seenAt {};
    /// Time that has passed since, as far as the renewals of later holders prove it.
    duration provenAge {};
};

/// State of a lease.
struct lease_state {
    lease_party holder;
    /// Offset of the holder's claim; grows with each change of the holder.
    std::uint64_t claimOffset = 0;
    /// Claim that the holder's claim named.
    std::optional<std::uint64_t> formerClaim;
    /// Time at which this process read the newest record of the holder.
    instant seenAt {};
    bool isReleased = false;
    std::vector<former_order> formerOrders;
    std::vector<unresponsive_holder> unresponsiveHolders;
    /// Number of the last renewal that the holder sent before its claim.
    std::uint64_t renewalsBefore = 0;
    /// Time for which the holder has held the lease, as far as its renewals prove it.
    duration provenTenure {};
    /// As the holder's claim says.
    std::uint32_t shortTenures = 0;
};

/// State of all leases, built by applying their records in order. All daemons reach the same state.
///
/// A claim takes effect if it names a later claim than the claim of the holder did, so the first of several claims that
/// name the same one wins. While no record is missing, this means that the claim that it names is the newest one. It needs
/// no record of earlier holders, so those may be removed from the log in any order (lease_records).
///
/// Renewals do not affect who the holder is, since the log keeps only the newest renewal of each process: a daemon that
/// starts late finds the same holders. A claim that is written while a renewal is under way takes the lease from a live
/// holder. This does no harm, since the new holder waits until the former one may no longer act.
class lease_table {
public:
    /// Minimum time between two renewals of a process.
    static constexpr duration renewInterval = std::chrono::milliseconds(300);
    /// Former holders are remembered longer than any new holder has to wait because of them.
    static constexpr duration formerHolderRetention = std::chrono::seconds(60);

    /// Applies the record at \a offset of the log, which was read at \a now.
    void apply(const lease_record& record, std::uint64_t offset, instant now);

    /// State of the lease, or null when it was never claimed.
    const lease_state* find(std::string_view lease) const;
    bool isHeldBy(std::string_view lease, const lease_party& party) const;
    /// Number of leases that \a party holds.
    std::size_t countHeldBy(const lease_party& party) const;

private:
    friend class lease_visitor;

    std::map<std::string, lease_state, std::less<>> m_leases;
};

}
