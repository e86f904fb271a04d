#include "leasetable.h"

#include <algorithm>

namespace ragwortreach {

/// Applies one record to a table.
class lease_visitor {
public:
    lease_visitor(lease_table& table, std::uint64_t offset, instant now)
        : m_table(table)
        , m_offset(offset)
        , m_now(now)
    {
    }

    void operator()(const lease_claim& record) const
    {
        const auto found = m_table.m_leases.find(record.lease);
        const bool hasRecord = found != m_table.m_leases.end();
        if (hasRecord && record.formerClaim <= found->second.formerClaim)
            return;
        lease_state next { record.party, m_offset, record.formerClaim, m_now, false, {}, {}, record.renewals, {}, record.shortTenures };
        if (hasRecord) {
            next.formerOrders = std::move(found->second.formerOrders);
            next.unresponsiveHolders = std::move(found->second.unresponsiveHolders);
            if (!found->second.isReleased)
                next.unresponsiveHolders.push_back({ found->second.holder.vm, found->second.seenAt, {} });
            forgetOld(next);
        }
        m_table.m_leases[record.lease] = std::move(next);
    }

    void operator()(const lease_renewal& record) const
    {
        forEachHeld(record.party, [&record](lease_state& state) {
            if (record.number <= state.renewalsBefore + 1)
                return;
            const duration held = lease_table::renewInterval * (record.number - state.renewalsBefore - 1);
            state.provenTenure = std::max(state.provenTenure, held);
            for (former_order& order : state.formerOrders)
                order.provenAge = std::max(order.provenAge, held);
            for (unresponsive_holder& holder : state.unresponsiveHolders)
                holder.provenAge = std::max(holder.provenAge, held);
        });
    }

    void operator()(const lease_release& record) const
    {
        forEachHeld(record.party, [this, &record](lease_state& state) {
            state.isReleased = true;
            for (const recent_order& order : record.recentOrders)
                state.formerOrders.push_back({ order.replica, record.party.vm, m_now - order.age, {} });
        });
    }

private:
    void forgetOld(lease_state& state) const
    {
        std::erase_if(state.formerOrders, [this](const former_order& order) { return std::max(m_now - order.sentAt, order.provenAge) > lease_table::formerHolderRetention; });
        std::erase_if(state.unresponsiveHolders, [this](const unresponsive_holder& holder) { return std::max(m_now - holder.seenAt, holder.provenAge) > lease_table::formerHolderRetention; });
    }

    template <typename function>
    void forEachHeld(const lease_party& party, const function& change) const
    {
        for (std::pair<const std::string, lease_state>& item : m_table.m_leases) {
            lease_state& state = item.second;
            if (state.holder != party || state.isReleased)
                continue;
            state.seenAt = m_now;
            change(state);
        }
    }

    lease_table& m_table;
    std::uint64_t m_offset;
    instant m_now;
};

void lease_table::apply(const lease_record& record, std::uint64_t offset, instant now)
{
    std::visit(lease_visitor(*this, offset, now), record);
}

const lease_state* lease_table::find(std::string_view lease) const
{
    const auto found = m_leases.find(lease);
    return found == m_leases.end() ? nullptr : &found->second;
}

bool lease_table::isHeldBy(std::string_view lease, const lease_party& party) const
{
    const lease_state* const state = find(lease);
    return state && state->holder == party && !state->isReleased;
}

std::size_t lease_table::countHeldBy(const lease_party& party) const
{
    return static_cast<std::size_t>(std::count_if(m_leases.begin(), m_leases.end(),
        [&party](const std::pair<const std::string, lease_state>& item) { return item.second.holder == party && !item.second.isReleased; }));
}

}
