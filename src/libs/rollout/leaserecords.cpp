#include "leaserecords.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ragwortreach {

namespace {

    bool isBefore(const lease_party& left, const lease_party& right)
    {
        return std::tie(left.vm, left.instance) < std::tie(right.vm, right.instance);
    }

}

/// Adds one record to the entries.
class lease_record_visitor {
public:
    lease_record_visitor(lease_records& records, const std::string& key, std::uint64_t offset, const lease_table& table, instant now)
        : m_records(records)
        , m_key(key)
        , m_offset(offset)
        , m_table(table)
        , m_now(now)
    {
    }

    void operator()(const lease_claim& record) const
    {
        const lease_state* const state = m_table.find(record.lease);
        const bool tookEffect = state && state->claimOffset == m_offset;
        m_records.m_entries[m_key] = { record.party, m_offset, true, tookEffect, tookEffect ? std::nullopt : std::optional<instant>(m_now) };
        if (!tookEffect)
            return;
        const std::string former = std::exchange(m_records.m_holderClaims[record.lease], m_key);
        const auto found = m_records.m_entries.find(former);
        if (found != m_records.m_entries.end() && former != m_key)
            found->second.obsoleteSince = m_now;
    }

    void operator()(const lease_renewal& record) const { addOther(record.party); }
    void operator()(const lease_release& record) const { addOther(record.party); }

private:
    void addOther(const lease_party& party) const { m_records.m_entries[m_key] = { party, m_offset, false, false, m_now }; }

    lease_records& m_records;
    const std::string& m_key;
    std::uint64_t m_offset;
    const lease_table& m_table;
    instant m_now;
};

void lease_records::add(const std::string& key, const lease_record& record, std::uint64_t offset, const lease_table& table, instant now)
{
    std::visit(lease_record_visitor(*this, key, offset, table, now), record);
}

void lease_records::remove(std::string_view key)
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        m_entries.erase(found);
}

void lease_records::retain(const std::set<std::string, std::less<>>& keys)
{
    std::erase_if(m_entries, [&keys](const entry_map::value_type& item) { return !keys.contains(item.first); });
}

std::vector<std::string> lease_records::obsoleteSince(instant time, std::size_t limit) const
{
    const std::vector<lease_party> parties = claimants();
    std::vector<entry_map::const_iterator> found;
    for (entry_map::const_iterator item = m_entries.begin(); item != m_entries.end(); ++item) {
        const entry& record = item->second;
        const bool isNeeded = !record.isClaim && std::binary_search(parties.begin(), parties.end(), record.party, isBefore);
        if (!isNeeded && record.obsoleteSince && *record.obsoleteSince <= time)
            found.push_back(item);
    }
    // Lost claims go first, then those of former holders from the oldest on, so that the oldest claim that is left is always
    // one that took effect: a daemon of the former release takes it for such.
    std::sort(found.begin(), found.end(), [](const entry_map::const_iterator& left, const entry_map::const_iterator& right) {
        return std::tie(left->second.tookEffect, left->second.offset) < std::tie(right->second.tookEffect, right->second.offset);
    });
    found.resize(std::min(found.size(), limit));
    std::vector<std::string> keys;
    keys.reserve(found.size());
    for (const entry_map::const_iterator& item : found)
        keys.push_back(item->first);
    return keys;
}

/// Processes that have claims in the log, sorted.
std::vector<lease_party> lease_records::claimants() const
{
    std::vector<lease_party> parties;
    for (const entry_map::value_type& item : m_entries) {
        if (item.second.isClaim)
            parties.push_back(item.second.party);
    }
    std::sort(parties.begin(), parties.end(), isBefore);
    return parties;
}

}
