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

/// State of an entry after the edits that were accepted so far.
struct catalogue_entry_state {
    std::string name;
    /// Increases by one with each accepted edit and is never reused.
    std::uint64_t revision = 0;
    /// A deleted entry stays as a tombstone that keeps its revision.
    bool isDeleted = false;
    catalogue_entry body;
    std::string operatorName;
    /// Offset and id of the record that was last accepted.
    std::uint64_t offset = 0;
    std::string recordId;

    bool operator==(const catalogue_entry_state&) const = default;
};

/// Effect of a record on the catalogue.
enum class edit_outcome {
    /// The edit is in force.
    Accepted,
    /// The edit is well-formed but does not apply to the present state, for example because another edit replaced the
    /// same revision before; code is EditConflict.
    Conflict,
    /// The record is not a valid edit; code is EditInvalid.
    Skipped,
};

/// Verdict on one record of the stream `catalogue`; all readers reach the same one.
struct edit_verdict {
    /// Offset of the first record with this id.
    std::uint64_t offset = 0;
    std::string recordId;
    edit_outcome outcome = edit_outcome::Skipped;
    result_code code = result_code::EditInvalid;
    /// Message for the operator; empty when the edit was accepted.
    std::string detail;
    /// Name of the entry; empty when the record is not a valid edit.
    std::string entry;
    /// Revision of the entry after the record.
    std::uint64_t revision = 0;
    /// Whether the record had no effect because it is a duplicate or below the position of the table.
    bool isRepeated = false;
    /// Present state of the entry; none when there is no such entry.
    std::optional<catalogue_entry_state> current;

    /// Compares all members but isRepeated and current.
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
    /// Body that the edit asked for; none for a deletion.
    std::optional<catalogue_entry> body;

    bool operator==(const edit_history_item&) const = default;
};

/// State of the catalogue, built by applying the records of the stream `catalogue` in order.
///
/// All readers of the same records reach the same state and the same verdicts. In log order the first valid edit
/// that names the present revision of its entry is accepted; later edits that name the same revision are rejected.
/// A record whose id was seen within the last \c maxRememberedRecords records is a duplicate without effect. An
/// older duplicate is rejected because it names a revision that was replaced, unless it creates an entry that does
/// not exist at that time.
/// The table holds at most \c maxEntries entries, \c maxTombstones deleted entries and \c maxHistoryLength edits of
/// each.
class catalogue_table {
public:
    static constexpr std::size_t maxEntries = 1024;
    static constexpr std::size_t maxTombstones = 256;
    static constexpr std::size_t maxHistoryLength = 16;
    static constexpr std::size_t maxRememberedRecords = 1024;

    /// Applies \a record and moves the position behind it.
    ///
    /// A record below the position has no effect; its first verdict is returned when it is still remembered.
    /// A record above the position is applied, and the offsets that it skips count as a gap.
    edit_verdict apply(const log_record& record);

    /// Moves the position forward to \a offset without applying records, which counts as a gap. Never moves it back.
    void skipTo(std::uint64_t offset);

    /// Body of the entry of this name; nullptr when it is absent or deleted.
    const catalogue_entry* entry(std::string_view name) const;
    /// State of the entry of this name, also when it is deleted; nullptr when there is neither an entry nor a tombstone.
    const catalogue_entry_state* entryState(std::string_view name) const;
    /// Entries that are not deleted, ordered by name.
    std::vector<catalogue_entry_state> entries() const;
    /// Revision that an edit of \a name has to replace; 0 when the entry is absent.
    std::uint64_t revision(std::string_view name) const;
    /// Latest edits of \a name, including rejected ones, the oldest first.
    std::vector<edit_history_item> history(std::string_view name) const;
    /// Verdict on the record with this id; none when the record was not applied yet or is no longer remembered.
    std::optional<edit_verdict> verdict(std::string_view recordId) const;

    /// Offset of the next record to apply.
    std::uint64_t position() const { return m_position; }
    /// Number of records that were not valid edits.
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    /// Number of gaps in the applied records. Not part of the hash.
    std::uint64_t gaps() const { return m_gaps; }
    /// Hash of position, entries, tombstones and remembered verdicts without their messages; equal at two readers
    /// that gave the same verdicts.
    std::uint64_t hash() const;

private:
    friend class catalogue_state_codec;

    /// Entry and its latest edits.
    struct slot {
        catalogue_entry_state entryState;
        std::deque<edit_history_item> history;
    };
    using slot_map = std::map<std::string, slot, std::less<>>;

    edit_verdict decide(const log_record& record);
    edit_verdict decideEdit(const log_record& record, const catalogue_edit& edit);
    std::optional<edit_verdict> repeatedVerdict(std::string_view recordId) const;
    edit_verdict withCurrent(const edit_verdict& verdict) const;
    /// Reason to reject \a edit; empty when it can be accepted.
    std::string conflictDetail(const catalogue_edit& edit) const;
    void applyEdit(const log_record& record, const catalogue_edit& edit);
    void remember(const edit_verdict& verdict);
    void addToHistory(const log_record& record, const catalogue_edit& edit, const edit_verdict& verdict);
    void dropOldestTombstone();
    std::size_t tombstones() const;

    slot_map m_slots;
    /// Remembered verdicts, the oldest first.
    std::deque<edit_verdict> m_verdicts;
    /// Running number of each remembered verdict, by record id.
    std::map<std::string, std::uint64_t, std::less<>> m_verdictNumbers;
    /// Number of verdicts that are no longer remembered, which is the running number of the first of m_verdicts.
    std::uint64_t m_forgottenVerdicts = 0;
    std::uint64_t m_position = 0;
    /// Highest revision of a dropped tombstone. New entries start above it, so that no revision is reused.
    std::uint64_t m_revisionFloor = 0;
    std::uint64_t m_skippedRecords = 0;
    std::uint64_t m_gaps = 0;
};

}
