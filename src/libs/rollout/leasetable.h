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

/// Process that may hold leases: one life of the daemon on a VM.
struct lease_party {
    std::string vm;
    std::string life;

    bool operator==(const lease_party&) const = default;
};

/// Order that the holder sent shortly before it released its lease.
struct recent_order {
    std::string replica;
    /// Time from the order to the release.
    duration age {};
};

/// A process takes a lease from the holder whose claim stands at \a formerClaim; empty when there is no holder.
struct lease_claim {
    std::string lease;
    lease_party party;
    std::optional<std::uint64_t> formerClaim;
    /// Number of the last renewal of the process before.
    std::uint64_t renewals = 0;
};

/// A process keeps all leases that it holds.
struct lease_renewal {
    lease_party party;
    /// Grows from renewal to renewal of the process.
    std::uint64_t number = 0;
};

/// A process gives all its leases up.
struct lease_release {
    lease_party party;
    std::vector<recent_order> recentOrders;
};

using lease_record = std::variant<lease_claim, lease_renewal, lease_release>;

/// Order of a holder that has released the lease.
struct former_order {
    std::string replica;
    std::string vm;
    /// Never before the order was sent.
    instant sentAt {};
    /// Time that has passed since, as far as the renewals of later holders prove it.
    duration provenAge {};
};

/// Holder that went silent without a release.
struct silent_holder {
    std::string vm;
    /// When its newest record was learned of.
    instant seenAt {};
    /// Time that has passed since, as far as the renewals of later holders prove it.
    duration provenAge {};
};

/// Lease as the records say.
struct lease_state {
    lease_party holder;
    /// Offset of the claim, which grows from holder to holder.
    std::uint64_t claimOffset = 0;
    /// When this process learned of the newest record of the holder.
    instant seenAt {};
    bool isReleased = false;
    std::vector<former_order> formerOrders;
    std::vector<silent_holder> silentHolders;
    /// Number of the last renewal of the holder before its claim.
    std::uint64_t renewalsBefore = 0;
};

/// State of all leases: a fold of their records. All daemons reach the same state.
///
/// A claim counts only if the claim that it names is still the newest one, so of several claims the first one wins.
/// Renewals decide nothing, since the log keeps only the newest one of each process: a daemon that starts late comes
/// to the same holders. A claim that crosses a renewal takes the lease from a live holder, which does no harm: the
/// new holder waits until the former one may no longer act.
class lease_table {
public:
    /// Least time between two renewals of a process.
    static constexpr duration renewInterval = std::chrono::milliseconds(300);

    void apply(const lease_record& record, std::uint64_t offset, instant now);

    const lease_state* find(std::string_view lease) const;
    bool isHeldBy(std::string_view lease, const lease_party& party) const;
    std::size_t heldBy(const lease_party& party) const;

private:
    friend class lease_visitor;

    std::map<std::string, lease_state, std::less<>> m_leases;
};

}
