#pragma once

#include "journalrecord.h"

#include <core/instant.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// What a daemon knows of a batch without having read its records.
struct directory_entry {
    batch_listed listed;
    /// Offset of the record that listed the batch; batches were accepted in this order.
    std::uint64_t offset = 0;
    /// Time at which this process learned of the batch; never earlier than the acceptance.
    instant learnedAt {};
    bool isEnded = false;
    /// All records of the batch up to the end of what was read are in the ledger.
    bool isFollowed = false;
};

/// End of a batch that is not listed.
struct early_end {
    std::string batch;
    /// Time at which this process learned of the end.
    instant learnedAt {};
};

/// All batches of the journal. A daemon reads it at its start in place of the records of all batches, whose number grows
/// with the day, and reads the records of a batch when it needs them.
///
/// The name of a batch is the part of the keys of its records that belongs to it.
class batch_directory {
public:
    /// Adds a batch; null when it was listed before, since only the first acceptance of a batch takes effect.
    const directory_entry* add(std::string_view name, const batch_listed& listed, std::uint64_t offset, instant now);
    const directory_entry* find(std::string_view name) const;
    /// Notes the end of a batch. It holds also when the batch is added afterwards: an acceptance may take effect late.
    void setEnded(std::string_view name, const batch_ended& end, instant now);
    /// Whether an end was noted, of a batch that is listed or not.
    bool isEnded(std::string_view name) const;
    /// \a isFollowed: whether all records of the batch are in the ledger.
    void setFollowed(std::string_view name, bool isFollowed);
    /// Removes the batch, or its early end.
    void remove(std::string_view name);

    std::vector<std::string> names() const;
    /// Names of the batches of \a models that are not followed and that their owner needs, in the order of their
    /// acceptance: the open ones, and the last ended ones, whose items a trainer may submit again.
    std::vector<std::string> missing(const std::set<std::string, std::less<>>& models) const;
    /// Names of the batches that are ended and not followed and that this process learned of before \a limit.
    std::vector<std::string> closedBefore(instant limit) const;
    /// Ids of the batches that are not listed and whose end this process learned of before \a limit.
    std::vector<std::string> earlyEndsBefore(instant limit) const;

private:
    directory_entry* entryOf(std::string_view name);

    std::map<std::string, directory_entry, std::less<>> m_entries;
    /// By the name of the batch, which is not in \c m_entries.
    std::map<std::string, early_end, std::less<>> m_earlyEnds;
};

}
