#include "claimfold.h"

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

}

struct claim_fold::record_applier {
    claim_fold& fold;
    const log_record& record;

    void operator()(const key_claim& claim) const { fold.applyClaim(record, claim); }
    void operator()(const claim_finish& finish) const { fold.applyFinish(record, finish); }
    void operator()(const claim_void& withdrawal) const { fold.applyVoid(record, withdrawal); }
};

claim_fold::claim_fold(std::uint64_t maxAge, std::size_t maxBytes)
    : m_maxAge(maxAge)
    , m_maxBytes(maxBytes)
{
}

void claim_fold::startAt(std::uint64_t offset, bool isOldestRetained)
{
    m_position = offset;
    m_readFrom = isOldestRetained ? 0 : offset;
}

void claim_fold::skipTo(std::uint64_t offset)
{
    if (offset <= m_position)
        return;
    m_position = offset;
    ++m_gaps;
    forgetOld();
}

bool claim_fold::isComplete() const
{
    return m_readFrom == 0 || m_position - m_readFrom >= m_maxAge;
}

void claim_fold::apply(const log_record& record)
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

void claim_fold::applyClaim(const log_record& record, const key_claim& claim)
{
    const std::string key = keyOf(claim.entry, claim.key);
    touch(key, record.id, record.offset);
    claim_note& note = m_notes[record.id];
    note.offset = record.offset;
    if (note.state != claim_state::Unseen)
        return;
    const standing_claim candidate { record.id, claim, record.offset, std::nullopt };
    const bool isFree = m_standing.try_emplace(key, candidate).second;
    note.state = isFree ? claim_state::Won : claim_state::Lost;
    if (isFree)
        note.key = key;
}

void claim_fold::applyFinish(const log_record& record, const claim_finish& finish)
{
    const std::string key = keyOf(finish.claim.entry, finish.claim.key);
    touch(key, finish.claimId, record.offset);
    const standing_claim candidate { finish.claimId, finish.claim, record.offset, std::nullopt };
    standing_claim& standing = m_standing.try_emplace(key, candidate).first->second;
    if (standing.claimId != finish.claimId || standing.finish)
        return;
    standing.finish = finish;
    m_answerBytes += finish.answer.body.size();
    m_answers.push_back({ record.offset, key, finish.claimId });
    limitAnswers();
}

void claim_fold::applyVoid(const log_record& record, const claim_void& withdrawal)
{
    claim_note& note = m_notes[withdrawal.claimId];
    note.offset = record.offset;
    m_aging.push_back({ record.offset, {}, withdrawal.claimId });
    const std::unordered_map<std::string, standing_claim>::const_iterator it = m_standing.find(note.key);
    const bool isStanding = it != m_standing.end() && it->second.claimId == withdrawal.claimId;
    if (isStanding && it->second.finish)
        return;
    if (isStanding)
        m_standing.erase(it);
    note.state = claim_state::Voided;
    note.key.clear();
}

void claim_fold::touch(const std::string& key, const std::string& claimId, std::uint64_t offset)
{
    m_aging.push_back({ offset, key, claimId });
    const std::unordered_map<std::string, standing_claim>::iterator it = m_standing.find(key);
    if (it != m_standing.end())
        it->second.lastOffset = offset;
}

void claim_fold::limitAnswers()
{
    while (m_answerBytes > m_maxBytes && !m_answers.empty()) {
        const std::unordered_map<std::string, standing_claim>::iterator it = m_standing.find(m_answers.front().key);
        if (it != m_standing.end() && it->second.claimId == m_answers.front().claimId)
            dropAnswer(it->second);
        m_answers.pop_front();
    }
}

void claim_fold::dropAnswer(standing_claim& claim)
{
    if (!claim.finish)
        return;
    m_answerBytes -= claim.finish->answer.body.size();
    claim.finish->answer.body = std::string();
    claim.finish->answer.isBodyKept = false;
}

void claim_fold::erase(const std::string& key)
{
    const std::unordered_map<std::string, standing_claim>::iterator it = m_standing.find(key);
    dropAnswer(it->second);
    m_standing.erase(it);
}

void claim_fold::forgetOld()
{
    while (!m_aging.empty() && m_aging.front().offset + m_maxAge < m_position) {
        const aging_item item = std::move(m_aging.front());
        m_aging.pop_front();
        const std::unordered_map<std::string, standing_claim>::const_iterator it = m_standing.find(item.key);
        if (it != m_standing.end() && it->second.lastOffset == item.offset)
            erase(item.key);
        const std::unordered_map<std::string, claim_note>::const_iterator note = m_notes.find(item.claimId);
        if (note != m_notes.end() && note->second.offset == item.offset)
            m_notes.erase(note);
    }
    while (!m_answers.empty() && m_answers.front().offset + m_maxAge < m_position)
        m_answers.pop_front();
}

claim_state claim_fold::state(std::string_view claimId) const
{
    const std::unordered_map<std::string, claim_note>::const_iterator it = m_notes.find(std::string(claimId));
    return it == m_notes.end() ? claim_state::Unseen : it->second.state;
}

const standing_claim* claim_fold::standing(std::string_view entry, std::string_view key) const
{
    const std::unordered_map<std::string, standing_claim>::const_iterator it = m_standing.find(keyOf(entry, key));
    return it == m_standing.end() ? nullptr : &it->second;
}

std::optional<claim_refusal> claim_fold::refusal(const key_claim& claim, std::string_view claimId) const
{
    const standing_claim* holder = standing(claim.entry, claim.key);
    if (holder == nullptr || holder->claimId == claimId)
        return std::nullopt;
    if (holder->claim.bodyHash != claim.bodyHash)
        return claim_refusal { result_code::KeyConflict, {} };
    if (!holder->finish)
        return claim_refusal { result_code::KeyInUse, {} };
    if (holder->finish->code != result_code::Ok)
        return claim_refusal { result_code::OutcomeUnknown, {} };
    const recorded_answer& answer = holder->finish->answer;
    return claim_refusal { answer.isBodyKept ? result_code::Ok : result_code::AlreadyRan, answer };
}

}
