#pragma once

#include "gossipmessage.h"
#include "instant.h"
#include "member.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::Internal {

struct delta_queue_tag;
struct values_queue_tag;

template <class Tag>
using queue_hook = boost::intrusive::list_base_hook<boost::intrusive::tag<Tag>,
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Member with the protocol's data about it. Erasing the entry also removes it from the broadcast queues.
struct member_entry : queue_hook<delta_queue_tag>, queue_hook<values_queue_tag> {
    member view;
    std::uint64_t refutation = 0;
    member_health health = member_health::Alive;
    bool leaving = false;
    std::uint64_t hash = 0;
    instant healthChangedAt;
    /// Remaining transmissions of the delta; see broadcast_queue.
    std::size_t deltaTransmissions = 0;
    /// Whether deltas carry the details, because other members may not know them.
    bool isDetailed = false;
    std::size_t valuesTransmissions = 0;
    /// Time at which the member was last sent this daemon's view of it because it is suspected, failed or outdated.
    std::optional<instant> correctedAt;
};

/// Outcome of member_table::apply().
enum class apply_outcome {
    Ignored,
    /// The instance is not known and the delta carries no details.
    DetailsMissing,
    Changed,
};

/// Result of member_table::apply().
struct apply_result {
    apply_outcome outcome = apply_outcome::Ignored;
    member_entry* entry = nullptr;
    /// State before the change; empty for a member that was not known.
    std::optional<member_state> previous;
    bool isNewInstance = false;
    /// The new instance is the process of a VM that only the VM list had named before.
    bool wasListed = false;
};

/// All members except the local one.
///
/// Of two deltas of one member the one with the later instance takes precedence, then the one with the higher
/// refutation, then the one with the worse health. Leaving is final for an instance.
class member_table {
public:
    explicit member_table(std::size_t maxMembers);

    /// Merges \a delta. With \a isSync (an answer to a digest) a failure of a member that is not failed here is taken
    /// as a suspicion, which the member can refute.
    apply_result apply(const member_delta& delta, bool isSync, instant now);
    /// Merges \a values. Returns whether their revision is newer.
    bool applyValues(const values_delta& values);
    /// Merges \a report. Returns whether it raised the catalogue position of a member.
    bool applyReport(const position_report& report);
    /// Erases members that failed before \a limit.
    void forgetFailedBefore(instant limit);
    /// Moves the start of each suspicion forward by \a gap.
    void delaySuspicions(duration gap);

    member_entry* find(std::string_view vm);
    const member_entry* find(std::string_view vm) const;
    const std::map<std::string, member_entry, std::less<>>& entries() const { return m_entries; }
    /// Members sorted by the hashes of their names.
    const std::vector<member_entry*>& ring() const { return m_ring; }
    /// Number of entries erased so far; pointers to entries stay valid while it does not change.
    std::uint64_t erasures() const { return m_erasures; }
    std::size_t suspectCount() const { return m_suspectCount; }
    std::size_t failedCount() const { return m_failedCount; }

private:
    apply_result applyUnknown(const member_delta& delta, instant now);
    apply_result applyNewInstance(member_entry& entry, const member_delta& delta, instant now);
    apply_result applySameInstance(member_entry& entry, const member_delta& delta, bool isSync, instant now);
    void count(member_health health, bool isAdded);
    void setHealth(member_entry& entry, member_health health, instant now);
    /// When the table is full, erases the member that failed first. Returns whether there is room for another one.
    bool evictIfFull();
    void erase(std::string_view vm);

    std::size_t m_maxMembers;
    std::map<std::string, member_entry, std::less<>> m_entries;
    std::vector<member_entry*> m_ring;
    std::uint64_t m_erasures = 0;
    std::size_t m_suspectCount = 0;
    std::size_t m_failedCount = 0;
};

/// Hash of a VM's name, which orders the ring and selects the bucket.
std::uint64_t nameHash(std::string_view vm);

/// Bucket of a member in a digest.
std::size_t digestBucket(std::uint64_t hash);

/// Hash of a member's state, combined by XOR into the hash of its bucket; 0 for a failed member.
std::uint32_t digestHash(const member_delta& delta);

/// Hash by which a position_report names a process instance of a member.
std::uint32_t instanceHash(const member& view);

/// Delta with the state of \a entry, including the details if \a isDetailed.
member_delta toDelta(const member_entry& entry, bool isDetailed);

/// State that results from \a health and \a leaving; a failure takes precedence over leaving.
member_state stateOf(member_health health, bool leaving);

}
