#include "claimtable.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    std::string keyOf(std::string_view entry, std::string_view key)
    {
        std::string joined(entry);
        joined += '\n';
        joined += key;
        return joined;
    }

    claim_refusal refusalBy(const standing_claim& holder, const key_claim& claim)
    {
        if (holder.claim.bodyHash != claim.bodyHash)
            return { result_code::KeyConflict, {} };
        if (!holder.finish)
            return { result_code::KeyInUse, {} };
        if (holder.finish->code != result_code::Ok)
            return { result_code::OutcomeUnknown, {} };
        const recorded_answer& answer = holder.finish->answer;
        return { answer.isBodyKept ? result_code::Ok : result_code::AlreadyRan, answer };
    }

}

struct claim_table::record_applier {
    claim_table& table;
    const log_record& record;

    void operator()(const key_claim& claim) const { table.applyClaim(record, claim); }
    void operator()(const claim_finish& finish) const { table.applyFinish(record, finish); }
    void operator()(const claim_void& withdrawal) const { table.applyVoid(record, withdrawal); }
};

claim_table::claim_table(std::uint64_t maxAge, std::size_t maxBytes)
    : m_maxAge(maxAge)
    , m_maxBytes(maxBytes)
{
}

void claim_table::startAt(std::uint64_t offset, bool isOldestRetained)
{
    m_position = offset;
    m_readFrom = isOldestRetained ? 0 : offset;
}

void claim_table::skipTo(std::uint64_t offset)
{
    if (offset <= m_position)
        return;
    m_position = offset;
    ++m_gaps;
    forgetOld();
}

bool claim_table::isComplete() const
{
    return m_readFrom == 0 || m_position - m_readFrom >= m_maxAge;
}

void claim_table::apply(const log_record& record)
{
    if (record.offset < m_position)
        return;
    skipTo(record.offset);
    m_position = record.offset + 1;
    forgetOld();
    const std::optional<claim_record> parsed = parseClaimRecord(record.data);
    if (!parsed || record.id.empty() || record.id.size() > maxRecordIdLength) {
        ++m_skippedRecords;
        return;
    }
    std::visit(record_applier { *this, record }, *parsed);
}

void claim_table::applyClaim(const log_record& record, const key_claim& claim)
{
    claim_note& note = m_notes[record.id];
    note.offset = record.offset;
    note.key = keyOf(claim.entry, claim.key);
    m_aging.push_back({ record.offset, note.key, record.id });
    if (note.state == claim_state::Voided)
        return;
    if (note.state == claim_state::Unseen)
        note.state = m_standing.contains(note.key) ? claim_state::Lost : claim_state::Won;
    stand(note.key, record.id, claim, record.offset);
}

void claim_table::applyFinish(const log_record& record, const claim_finish& finish)
{
    const std::string key = keyOf(finish.claim.entry, finish.claim.key);
    m_aging.push_back({ record.offset, key, finish.claimId });
    standing_claim& claim = stand(key, finish.claimId, finish.claim, record.offset);
    if (claim.finish)
        return;
    claim.finish = finish;
    m_answerBytes += finish.answer.body.size();
    m_answers.push_back({ record.offset, key, finish.claimId });
    limitAnswers();
}

void claim_table::applyVoid(const log_record& record, const claim_void& withdrawal)
{
    claim_note& note = m_notes[withdrawal.claimId];
    note.offset = record.offset;
    m_aging.push_back({ record.offset, note.key, withdrawal.claimId });
    const standing_claim* claim = find(note.key, withdrawal.claimId);
    if (claim != nullptr && claim->finish)
        return;
    note.state = claim_state::Voided;
    erase(note.key, withdrawal.claimId);
}

standing_claim& claim_table::stand(const std::string& key, const std::string& claimId, const key_claim& claim, std::uint64_t offset)
{
    standing_claim* known = find(key, claimId);
    if (known == nullptr)
        known = &m_standing[key].emplace_back(standing_claim { claimId, claim, offset, std::nullopt });
    known->lastOffset = offset;
    return *known;
}

standing_claim* claim_table::find(const std::string& key, const std::string& claimId)
{
    const std::unordered_map<std::string, std::vector<standing_claim>>::iterator it = m_standing.find(key);
    if (it == m_standing.end())
        return nullptr;
    const std::vector<standing_claim>::iterator claim = std::find_if(it->second.begin(), it->second.end(),
        [&claimId](const standing_claim& candidate) { return candidate.claimId == claimId; });
    return claim == it->second.end() ? nullptr : &*claim;
}

void claim_table::erase(const std::string& key, const std::string& claimId)
{
    standing_claim* claim = find(key, claimId);
    if (claim == nullptr)
        return;
    dropAnswer(*claim);
    std::vector<standing_claim>& claims = m_standing.at(key);
    std::erase_if(claims, [&claimId](const standing_claim& candidate) { return candidate.claimId == claimId; });
    if (claims.empty())
        m_standing.erase(key);
}

void claim_table::limitAnswers()
{
    while (m_answerBytes > m_maxBytes && !m_answers.empty()) {
        standing_claim* claim = find(m_answers.front().key, m_answers.front().claimId);
        if (claim != nullptr)
            dropAnswer(*claim);
        m_answers.pop_front();
    }
}

void claim_table::dropAnswer(standing_claim& claim)
{
    if (!claim.finish)
        return;
    m_answerBytes -= claim.finish->answer.body.size();
    claim.finish->answer.body = std::string();
    claim.finish->answer.isBodyKept = false;
}

void claim_table::forgetOld()
{
    while (!m_aging.empty() && m_aging.front().offset + m_maxAge < m_position) {
        const aging_item item = std::move(m_aging.front());
        m_aging.pop_front();
        const standing_claim* claim = find(item.key, item.claimId);
        if (claim != nullptr && claim->lastOffset == item.offset)
            erase(item.key, item.claimId);
        const std::unordered_map<std::string, claim_note>::const_iterator note = m_notes.find(item.claimId);
        if (note != m_notes.end() && note->second.offset == item.offset)
            m_notes.erase(note);
    }
    while (!m_answers.empty() && m_answers.front().offset + m_maxAge < m_position)
        m_answers.pop_front();
}

claim_state claim_table::state(std::string_view claimId) const
{
    const std::unordered_map<std::string, claim_note>::const_iterator it = m_notes.find(std::string(claimId));
    return it == m_notes.end() ? claim_state::Unseen : it->second.state;
}

const standing_claim* claim_table::standing(std::string_view entry, std::string_view key) const
{
    const std::unordered_map<std::string, std::vector<standing_claim>>::const_iterator it = m_standing.find(keyOf(entry, key));
    return it == m_standing.end() ? nullptr : &it->second.front();
}

std::optional<claim_refusal> claim_table::refusal(const key_claim& claim, std::string_view claimId) const
{
    const std::unordered_map<std::string, std::vector<standing_claim>>::const_iterator it = m_standing.find(keyOf(claim.entry, claim.key));
    if (it == m_standing.end() || state(claimId) == claim_state::Won)
        return std::nullopt;
    const standing_claim* holder = nullptr;
    for (const standing_claim& candidate : it->second) {
        const bool isOther = candidate.claimId != claimId;
        if (isOther && (holder == nullptr || (candidate.finish && !holder->finish)))
            holder = &candidate;
    }
    if (holder == nullptr)
        return std::nullopt;
    return refusalBy(*holder, claim);
}

}
