#include "leaseagent.h"

#include <algorithm>
#include <functional>

namespace ragwortreach {

namespace {

    /// A process whose view of the records is older than this does not claim.
    constexpr duration maxViewAge = std::chrono::milliseconds(1500);
    /// Claim delay for each lease that a process holds already, so that other processes claim first.
    constexpr duration delayPerLease = std::chrono::milliseconds(100);
    /// The claims of a large fleet are spread over this time, so that most processes read the first claim before they
    /// write their own.
    constexpr std::uint64_t delaySpreadMs = 400;
    /// Processor share, in cores, that is enough to run the batches of a model.
    constexpr double sufficientProcessorShare = 0.5;
    /// Claim delay of a VM whose processor share is close to 0, so that larger VMs claim first.
    constexpr duration smallVmDelay = std::chrono::milliseconds(500);
    /// Minimum time between a claim of a process, such as a lost one, and its next claim. The records that tell of its
    /// outcome have to be read, too.
    constexpr duration claimInterval = std::chrono::milliseconds(400);

}

lease_agent::lease_agent(const lease_table& table, lease_party self, const lease_options& options)
    : m_table(table)
    , m_self(std::move(self))
    , m_options(options)
{
}

std::vector<lease_record> lease_agent::tick(const lease_view& view, instant now)
{
    std::vector<lease_record> records;
    if (m_isReleased || m_isWriting)
        return records;
    if (m_table.countHeldBy(m_self) > 0 && now - m_renewedAt >= renewInterval) {
        std::erase_if(m_renewals, [now](const std::pair<const std::uint64_t, instant>& sent) { return now - sent.second >= validity; });
        records.emplace_back(lease_renewal { m_self, ++m_lastRenewal });
        m_renewals.emplace(m_lastRenewal, now);
        m_renewedAt = now;
    }
    for (const std::string& lease : m_leases) {
        const lease_state* const state = m_table.find(lease);
        if (now - view.confirmedAt > maxViewAge || (state && !isClaimable(*state, view, now))) {
            m_claimableSince.erase(lease);
            continue;
        }
        const instant since = m_claimableSince.try_emplace(lease, now).first->second;
        const bool isDue = now - since >= claimDelay(lease) && now - m_claimedAt >= claimInterval && !hasUndecidedClaim(view);
        if (!isDue)
            continue;
        lease_claim claim { lease, m_self, std::nullopt, m_lastRenewal };
        if (state) {
            claim.formerClaim = state->claimOffset;
            claim.shortTenures = shortTenures(*state);
        }
        records.emplace_back(std::move(claim));
        m_claimedAt = now;
        m_hasClaimed = true;
        m_isWritingClaim = true;
        // One claim per tick, so that the leases are distributed over the processes.
        break;
    }
    m_isWriting = !records.empty();
    return records;
}

void lease_agent::onWritten(instant now)
{
    m_isWriting = false;
    if (m_isWritingClaim)
        m_claimWrittenAt = now;
    m_isWritingClaim = false;
}

std::uint32_t lease_agent::shortTenures(const lease_state& state) const
{
    const bool isShort = state.holder.vm == m_self.vm && !state.isReleased && state.provenTenure < minTenure;
    return isShort ? state.shortTenures + 1 : 0;
}

bool lease_agent::isClaimable(const lease_state& state, const lease_view& view, instant now) const
{
    if (state.holder == m_self && !state.isReleased)
        return false;
    if (state.isReleased)
        return true;
    // The holder may be an earlier process instance on this VM, which has ended.
    const bool isOwnVm = state.holder.vm == m_self.vm;
    if (isOwnVm && shortTenures(state) < maxShortTenures)
        return true;
    return now - std::max(state.seenAt, view.regainedAt) > heartbeatTimeout + (isOwnVm ? shortTenureDelay : duration::zero());
}

duration lease_agent::claimDelay(std::string_view lease) const
{
    const std::uint64_t hash = std::hash<std::string> {}(m_self.instance + std::string(lease));
    const double missingShare = 1 - std::min(1.0, m_options.processorShare / sufficientProcessorShare);
    const duration sizeDelay = std::chrono::duration_cast<duration>(smallVmDelay * missingShare);
    return delayPerLease * m_table.countHeldBy(m_self) + sizeDelay + std::chrono::milliseconds(hash % delaySpreadMs);
}

void lease_agent::onRead(const lease_record& record)
{
    const lease_renewal* const renewal = std::get_if<lease_renewal>(&record);
    if (!renewal || renewal->party != m_self)
        return;
    const std::map<std::uint64_t, instant>::const_iterator sent = m_renewals.find(renewal->number);
    if (sent == m_renewals.end())
        return;
    m_validUntil = std::max(m_validUntil, sent->second + validity);
    m_renewals.erase(m_renewals.begin(), std::next(sent));
}

std::optional<lease_release> lease_agent::release(instant now)
{
    m_isReleased = true;
    if (!m_hasClaimed)
        return std::nullopt;
    lease_release record { m_self, {} };
    for (const std::pair<const std::string, instant>& order : m_ordersAt) {
        if (now - order.second < m_options.takeoverDelay)
            record.recentOrders.push_back({ order.first, now - order.second });
    }
    return record;
}

bool lease_agent::mayAct(std::string_view lease, instant now) const
{
    if (m_isReleased || now >= m_validUntil || !isHeld(lease))
        return false;
    const lease_state& state = *m_table.find(lease);
    const duration wait = takeoverWait();
    return std::all_of(state.unresponsiveHolders.begin(), state.unresponsiveHolders.end(), [this, wait, now](const unresponsive_holder& holder) {
        return holder.vm == m_self.vm || std::max(now - holder.seenAt, holder.provenAge) >= wait;
    });
}

std::vector<std::string> lease_agent::barredReplicas(std::string_view lease, instant now) const
{
    std::vector<std::string> barred;
    const lease_state* const state = m_table.find(lease);
    if (!state)
        return barred;
    for (const former_order& order : state->formerOrders) {
        if (order.vm != m_self.vm && std::max(now - order.sentAt, order.provenAge) < m_options.takeoverDelay + maxOrderTransitTime)
            barred.push_back(order.replica);
    }
    return barred;
}

void lease_agent::noteOrder(std::string_view replica, instant now)
{
    m_ordersAt[std::string(replica)] = now;
}

std::uint64_t lease_agent::fencingToken(std::string_view lease) const
{
    const lease_state* const state = m_table.find(lease);
    return state ? state->claimOffset + 1 : 0;
}

}
