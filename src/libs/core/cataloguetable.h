#pragma once

#include "catalogueentry.h"
#include "logrecord.h"
#include "resultcode.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

struct catalogue_edit;

/// Entry as it stands after some edits.
struct catalogue_entry_state {
    std::string name;
    /// Counts up by one with each accepted edit and is never used twice.
    std::uint64_t revision = 0;
    /// A deleted entry stays as a tombstone that keeps its revision.
    bool isDeleted = false;
    catalogue_entry body;
    std::string operatorName;
    /// Offset and id of the record that was accepted last.
    std::uint64_t offset = 0;
    std::string recordId;

    bool operator==(const catalogue_entry_state&) const = default;
};

/// What a record did to the catalogue.
enum class edit_outcome {
    /// The edit is in force.
    Accepted,
    /// The edit was valid and lost against another one; code is EditConflict.
    Conflict,
    /// The record is not a valid edit; code is EditInvalid.
    Skipped,
};

/// Verdict on one record of the stream `catalogue`, the same at each reader.
struct edit_verdict {
    /// Offset of the first record with this id.
    std::uint64_t offset = 0;
    std::string recordId;
    edit_outcome outcome = edit_outcome::Skipped;
    result_code code = result_code::EditInvalid;
    /// Sentence for the operator; empty when the edit was accepted.
    std::string detail;
    /// Name of the entry; empty when the record does not tell.
    std::string entry;
    /// Revision of the entry after the record.
    std::uint64_t revision = 0;
    /// Whether the verdict was given before and this record had no effect.
    bool isRepeated = false;
    /// The entry as it stands now; none when it is absent. Not part of the comparison.
    std::optional<catalogue_entry_state> current;

    bool operator==(const edit_verdict& other) const;
};

/// Edit in the history of an entry.
struct edit_history_item {
    std::uint64_t offset = 0;
    std::string recordId;
    std::string operatorName;
    std::uint64_t replaces = 0;
    /// Revision of the entry after the edit.
    std::uint64_t revision = 0;
    result_code code = result_code::Ok;
    std::string detail;
    /// Body that the edit wanted; none for a deletion.
    std::optional<catalogue_entry> body;

    bool operator==(const edit_history_item&) const = default;
};

/// Deterministic fold of the stream `catalogue`: all readers of the same records get the same verdicts.
///
/// In log order the first valid edit that names the present revision of its entry is accepted, later ones
/// that name the same revision are rejected. A record id that was seen within the last
/// \c maxRememberedRecords records has no second effect; an older repetition is rejected all the same
/// unless it creates an entry that is absent by then.
/// The fold remembers at most \c maxEntries entries, \c maxTombstones deleted ones and
/// \c maxHistoryLength edits of each.
class catalogue_table {
public:
    static constexpr std::size_t maxEntries = 1024;
    static constexpr std::size_t maxTombstones = 256;
    static constexpr std::size_t maxHistoryLength = 16;
    static constexpr std::size_t maxRememberedRecords = 1024;

    /// Applies \a record and moves the position behind it.
    ///
    /// A record below the position has no effect; its verdict is returned when it is still remembered.
    /// A record above the position leaves a gap, which is counted.
    edit_verdict apply(const log_record& record);

    /// Moves the position forward to \a offset without records, which leaves a gap. Never moves it back.
    void skipTo(std::uint64_t offset);

    /// Entry of this name; nullptr when it is absent or deleted.
    const catalogue_entry* entry(std::string_view name) const;
    /// Item of this name, also a deleted one; nullptr when it was never created.
    const catalogue_entry_state* item(std::string_view name) const;
    /// Entries that are not deleted, ordered by name.
    std::vector<catalogue_entry_state> entries() const;
    /// Revision that an edit of \a name has to replace; 0 when the entry is absent.
    std::uint64_t revision(std::string_view name) const;
    /// Latest edits of \a name, the oldest first, rejected ones included.
    std::vector<edit_history_item> history(std::string_view name) const;
    /// Verdict on the record with this id; none when it is not seen yet or forgotten.
    std::optional<edit_verdict> verdict(std::string_view recordId) const;

    /// Offset of the next record to apply.
    std::uint64_t position() const { return m_position; }
    /// Records that were no valid edits.
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    /// Gaps in the records behind this state. Not part of the hash.
    std::uint64_t gaps() const { return m_gaps; }
    /// Hash of position, entries, tombstones and remembered verdicts, without the sentences in them;
    /// equal at two readers that gave the same verdicts.
    std::uint64_t hash() const;

private:
    friend class catalogue_state_codec;

    struct slot {
        catalogue_entry_state item;
        std::deque<edit_history_item> history;
    };
    using slot_map = std::map<std::string, slot, std::less<>>;

    edit_verdict decide(const log_record& record);
    edit_verdict decideEdit(const log_record& record, const catalogue_edit& edit);
    std::optional<edit_verdict> repeated(std::string_view recordId) const;
    edit_verdict withCurrent(const edit_verdict& verdict) const;
    std::string conflict(const catalogue_edit& edit) const;
    void accept(const log_record& record, const catalogue_edit& edit);
    void remember(const edit_verdict& verdict);
    void noteHistory(const log_record& record, const catalogue_edit& edit, const edit_verdict& verdict);
    void dropOldestTombstone();
    std::size_t tombstones() const;

    slot_map m_slots;
    std::deque<edit_verdict> m_verdicts;
    std::map<std::string, std::uint64_t, std::less<>> m_verdictNumbers;
    std::uint64_t m_forgottenVerdicts = 0;
    std::uint64_t m_position = 0;
    std::uint64_t m_revisionFloor = 0;
    std::uint64_t m_skippedRecords = 0;
    std::uint64_t m_gaps = 0;
};

}
