#pragma once

#include "leasetable.h"

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Lease records in the log by their keys, to find those that no reader needs any more.
///
/// The claim of the present holder of a lease is always kept, and so are the renewal and the release of its process. All
/// others become obsolete: a claim that was lost once it is read, a claim of a former holder once the next claim is read,
/// and the other records of a process once none of its claims is left. An obsolete record stays obsolete, so it does no
/// harm if several processes remove it, or if a removal arrives late.
class lease_records {
public:
    /// Notes the record at \a offset of the log, which was read at \a now, after it was applied to \a table.
    void add(const std::string& key, const lease_record& record, std::uint64_t offset, const lease_table& table, instant now);
    /// Notes that the log no longer has a record of this key.
    void remove(std::string_view key);
    /// Notes that the log has no records but those of \a keys.
    void retain(const std::set<std::string, std::less<>>& keys);
    /// Keys of at most \a limit records that are obsolete since \a time, in the order in which to remove them.
    std::vector<std::string> obsoleteSince(instant time, std::size_t limit) const;
    std::size_t size() const { return m_entries.size(); }

private:
    friend class lease_record_visitor;

    struct entry {
        lease_party party;
        std::uint64_t offset = 0;
        bool isClaim = false;
        /// The claim took effect when it was read.
        bool tookEffect = false;
        /// Empty for the claim of the present holder.
        std::optional<instant> obsoleteSince;
    };
    using entry_map = std::map<std::string, entry, std::less<>>;

    std::vector<lease_party> claimants() const;

    entry_map m_entries;
    /// Key of the claim of the present holder, by lease.
    std::map<std::string, std::string, std::less<>> m_holderClaims;
};

}
