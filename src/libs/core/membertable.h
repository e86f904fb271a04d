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

/// Member with what the protocol keeps about it. Erasing it takes it out of the queues.
struct member_entry : queue_hook<delta_queue_tag>, queue_hook<values_queue_tag> {
    member view;
    std::uint64_t refutation = 0;
    member_health health = member_health::Alive;
    bool leaving = false;
    std::uint64_t hash = 0;
    /// Time of the last change of the health.
    instant since;
    std::size_t deltaTransmissions = 0;
    /// Deltas carry the details, since others may not know them.
    bool isDetailed = false;
    std::size_t valuesTransmissions = 0;
    /// Time at which the member was last told that it is doubted.
    std::optional<instant> toldAt;
};

/// What apply() did.
enum class apply_outcome {
    Ignored,
    /// The life is not known and the delta carries no details.
    DetailsMissing,
    Changed,
};

/// Result of apply(); the previous state is empty for a new member.
struct apply_result {
    apply_outcome outcome = apply_outcome::Ignored;
    member_entry* entry = nullptr;
    std::optional<member_state> previous;
    bool isNewLife = false;
    /// The new life is the process of a VM that only the VM list had named.
    bool wasListed = false;
};

/// All members but the local one.
///
/// Of two deltas of one member the later life wins, then the higher refutation, then the worse health;
/// leaving stays for the rest of a life.
class member_table {
public:
    explicit member_table(std::size_t maxMembers);

    /// Merges \a delta. With \a isSync a failure of a live member becomes a suspicion, which it can refute.
    apply_result apply(const member_delta& delta, bool isSync, instant now);
    /// Merges \a values. Returns true when they are newer.
    bool applyValues(const values_delta& values);
    /// Merges \a report. Returns true when it says something new.
    bool applyReport(const position_report& report);
    /// Forgets members that failed before \a limit.
    void forgetFailedBefore(instant limit);
    /// Moves the start of each suspicion by \a gap.
    void delaySuspicions(duration gap);

    member_entry* find(std::string_view vm);
    const member_entry* find(std::string_view vm) const;
    const std::map<std::string, member_entry, std::less<>>& entries() const { return m_entries; }
    /// Members in order of their hashes.
    const std::vector<member_entry*>& ring() const { return m_ring; }
    /// Grows by one whenever an entry is erased.
    std::uint64_t erasures() const { return m_erasures; }
    std::size_t suspectCount() const { return m_suspectCount; }
    std::size_t failedCount() const { return m_failedCount; }

private:
    apply_result applyUnknown(const member_delta& delta, instant now);
    apply_result applyNewLife(member_entry& entry, const member_delta& delta, instant now);
    apply_result applySameLife(member_entry& entry, const member_delta& delta, bool isSync, instant now);
    void count(member_health health, bool isAdded);
    void setHealth(member_entry& entry, member_health health, instant now);
    bool makeRoom();
    void erase(std::string_view vm);

    std::size_t m_maxMembers;
    std::map<std::string, member_entry, std::less<>> m_entries;
    std::vector<member_entry*> m_ring;
    std::uint64_t m_erasures = 0;
    std::size_t m_suspectCount = 0;
    std::size_t m_failedCount = 0;
};

/// Hash of a VM's name that orders the ring and chooses the bucket.
std::uint64_t nameHash(std::string_view vm);

/// Bucket of a member in a digest.
std::size_t digestBucket(std::uint64_t hash);

/// Share of a member in the hash of its bucket; 0 for a failed one.
std::uint32_t digestHash(const member_delta& delta);

/// Hash of one life of a member in a position_report.
std::uint32_t instanceHash(const member& view);

/// Delta that spreads the state of \a entry.
member_delta toDelta(const member_entry& entry, bool isDetailed);

/// State as members see it.
member_state stateOf(member_health health, bool leaving);

}
