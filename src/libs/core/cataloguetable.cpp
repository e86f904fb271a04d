#include "cataloguetable.h"

#include "catalogueedit.h"
#include "cataloguestatecodec.h"

#include <xxhash.h>

#include <algorithm>

namespace ragwortreach {

namespace {

    edit_verdict verdictOn(const log_record& record, edit_outcome outcome, result_code code, std::string detail)
    {
        edit_verdict verdict;
        verdict.offset = record.offset;
        verdict.recordId = record.id;
        verdict.outcome = outcome;
        verdict.code = code;
        verdict.detail = std::move(detail);
        return verdict;
    }

}

bool edit_verdict::operator==(const edit_verdict& other) const
{
    return offset == other.offset && recordId == other.recordId && outcome == other.outcome && code == other.code
        && detail == other.detail && entry == other.entry && revision == other.revision;
}

edit_verdict catalogue_table::apply(const log_record& record)
{
    if (record.offset < m_position) {
        if (const std::optional<edit_verdict> known = repeatedVerdict(record.id))
            return *known;
        edit_verdict unknown = verdictOn(record, edit_outcome::Skipped, result_code::EditInvalid, "the record is older than the catalogue remembers");
        unknown.isRepeated = true;
        return unknown;
    }
    skipTo(record.offset);
    m_position = record.offset + 1;
    if (const std::optional<edit_verdict> known = repeatedVerdict(record.id))
        return *known;
    const edit_verdict result = decide(record);
    remember(result);
    return withCurrent(result);
}

std::optional<edit_verdict> catalogue_table::repeatedVerdict(std::string_view recordId) const
{
    std::optional<edit_verdict> known = verdict(recordId);
    if (known)
        known->isRepeated = true;
    return known;
}

edit_verdict catalogue_table::withCurrent(const edit_verdict& verdict) const
{
    edit_verdict result = verdict;
    const catalogue_entry_state* existing = entryState(verdict.entry);
    if (existing != nullptr && !existing->isDeleted)
        result.current = *existing;
    return result;
}

void catalogue_table::skipTo(std::uint64_t offset)
{
    if (offset <= m_position)
        return;
    m_position = offset;
    ++m_gaps;
}

edit_verdict catalogue_table::decide(const log_record& record)
{
    catalogue_edit edit;
    std::string detail;
    if (record.id.empty() || record.id.size() > maxRecordIdLength)
        detail = "the record id has " + std::to_string(record.id.size()) + " bytes, expected 1 to 128";
    else if (!parseEdit(record.data, edit, detail))
        return decideEdit(record, edit);
    ++m_skippedRecords;
    return verdictOn(record, edit_outcome::Skipped, result_code::EditInvalid, detail);
}

edit_verdict catalogue_table::decideEdit(const log_record& record, const catalogue_edit& edit)
{
    const std::string detail = conflictDetail(edit);
    edit_verdict verdict = detail.empty()
        ? verdictOn(record, edit_outcome::Accepted, result_code::Ok, {})
        : verdictOn(record, edit_outcome::Conflict, result_code::EditConflict, detail);
    if (detail.empty())
        applyEdit(record, edit);
    verdict.entry = edit.entry;
    const catalogue_entry_state* existing = entryState(edit.entry);
    verdict.revision = existing == nullptr ? 0 : existing->revision;
    addToHistory(record, edit, verdict);
    return verdict;
}

std::string catalogue_table::conflictDetail(const catalogue_edit& edit) const
{
    const std::uint64_t present = revision(edit.entry);
    if (edit.replaces != present) {
        const std::string actual = present == 0 ? "the entry is absent" : "the entry stands at revision " + std::to_string(present);
        return "replaces is " + std::to_string(edit.replaces) + ", but " + actual;
    }
    if (present == 0 && !edit.body)
        return "replaces is 0, but an entry that is absent cannot be deleted";
    if (present == 0 && m_slots.size() - tombstones() >= maxEntries)
        return "the catalogue holds " + std::to_string(maxEntries) + " entries, which is the limit";
    return {};
}

void catalogue_table::applyEdit(const log_record& record, const catalogue_edit& edit)
{
    catalogue_entry_state& target = m_slots[edit.entry].entryState;
    target.name = edit.entry;
    target.revision = std::max(target.revision, target.revision == 0 ? m_revisionFloor : 0) + 1;
    target.isDeleted = !edit.body;
    target.body = edit.body.value_or(catalogue_entry());
    target.operatorName = edit.operatorName;
    target.offset = record.offset;
    target.recordId = record.id;
    if (tombstones() > maxTombstones)
        dropOldestTombstone();
}

void catalogue_table::dropOldestTombstone()
{
    slot_map::iterator oldest = m_slots.end();
    for (slot_map::iterator it = m_slots.begin(); it != m_slots.end(); ++it) {
        if (it->second.entryState.isDeleted && (oldest == m_slots.end() || it->second.entryState.offset < oldest->second.entryState.offset))
            oldest = it;
    }
    m_revisionFloor = std::max(m_revisionFloor, oldest->second.entryState.revision);
    m_slots.erase(oldest);
}

std::size_t catalogue_table::tombstones() const
{
    return std::count_if(m_slots.begin(), m_slots.end(), [](const slot_map::value_type& value) { return value.second.entryState.isDeleted; });
}

void catalogue_table::remember(const edit_verdict& verdict)
{
    if (verdict.recordId.empty() || verdict.recordId.size() > maxRecordIdLength)
        return;
    m_verdicts.push_back(verdict);
    m_verdictNumbers[verdict.recordId] = m_forgottenVerdicts + m_verdicts.size() - 1;
    if (m_verdicts.size() <= maxRememberedRecords)
        return;
    m_verdictNumbers.erase(m_verdicts.front().recordId);
    m_verdicts.pop_front();
    ++m_forgottenVerdicts;
}

void catalogue_table::addToHistory(const log_record& record, const catalogue_edit& edit, const edit_verdict& verdict)
{
    const slot_map::iterator it = m_slots.find(edit.entry);
    if (it == m_slots.end())
        return;
    std::deque<edit_history_item>& history = it->second.history;
    history.push_back({ record.offset, record.id, edit.operatorName, edit.replaces, verdict.revision, verdict.code, verdict.detail, edit.body });
    if (history.size() > maxHistoryLength)
        history.pop_front();
}

const catalogue_entry_state* catalogue_table::entryState(std::string_view name) const
{
    const slot_map::const_iterator it = m_slots.find(name);
    return it == m_slots.end() ? nullptr : &it->second.entryState;
}

const catalogue_entry* catalogue_table::entry(std::string_view name) const
{
    const catalogue_entry_state* found = entryState(name);
    return found == nullptr || found->isDeleted ? nullptr : &found->body;
}

std::vector<catalogue_entry_state> catalogue_table::entries() const
{
    std::vector<catalogue_entry_state> entryStates;
    for (const slot_map::value_type& value : m_slots) {
        if (!value.second.entryState.isDeleted)
            entryStates.push_back(value.second.entryState);
    }
    return entryStates;
}

std::uint64_t catalogue_table::revision(std::string_view name) const
{
    const catalogue_entry_state* found = entryState(name);
    return found == nullptr || found->isDeleted ? 0 : found->revision;
}

std::vector<edit_history_item> catalogue_table::history(std::string_view name) const
{
    const slot_map::const_iterator it = m_slots.find(name);
    if (it == m_slots.end())
        return {};
    return { it->second.history.begin(), it->second.history.end() };
}

std::optional<edit_verdict> catalogue_table::verdict(std::string_view recordId) const
{
    const std::map<std::string, std::uint64_t, std::less<>>::const_iterator it = m_verdictNumbers.find(recordId);
    if (it == m_verdictNumbers.end())
        return std::nullopt;
    return withCurrent(m_verdicts[it->second - m_forgottenVerdicts]);
}

std::uint64_t catalogue_table::hash() const
{
    const std::string content = catalogue_state_codec::canonical(*this);
    return XXH3_64bits(content.data(), content.size());
}

}
