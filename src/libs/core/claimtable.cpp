#include "claimtable.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Key of the maps: entry and idempotency key.
    std::string keyOf(std::string_view entry, std::string_view key)
    {
        std::string joined(entry);
        joined += '\n';
        joined += key;
        return joined;
    }

    /// Refusal of \a claim while \a holder has its key.
    claim_refusal refusalBy(const active_claim& holder, const key_claim& claim)
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
    void operator()(const claim_withdrawal& withdrawal) const { table.applyWithdrawal(record, withdrawal); }
};

claim_table::claim_table(std::uint64_t maxAge, std::size_t maxBytes)
    : m_maxAge(maxAge)
    , m_maxAnswerBytes(maxBytes)
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
    removeExpired();
}

bool claim_table::coversMaxAge() const
{
    return m_readFrom == 0 || m_position - m_readFrom >= m_maxAge;
}

void claim_table::apply(const log_record& record)
{
    if (record.offset < m_position)
        return;
    skipTo(record.offset);
    m_position = record.offset + 1;
    removeExpired();
    const std::optional<claim_record> parsed = parseClaimRecord(record.data);
    if (!parsed || record.id.empty() || record.id.size() > maxRecordIdLength) {
        ++m_skippedRecords;
        return;
    }
    std::visit(record_applier { *this, record }, *parsed);
}

void claim_table::applyClaim(const log_record& record, const key_claim& claim)
{
    claim_status& status = m_claimStatuses[record.id];
    status.offset = record.offset;
    status.key = keyOf(claim.entry, claim.key);
    m_expiryQueue.push_back({ record.offset, status.key, record.id });
    if (status.state == claim_state::Withdrawn)
        return;
    if (status.state == claim_state::Unseen)
        status.state = m_activeClaims.contains(status.key) ? claim_state::Lost : claim_state::Won;
    addOrRefresh(status.key, record.id, claim, record.offset);
}

void claim_table::applyFinish(const log_record& record, const claim_finish& finish)
{
    const std::string key = keyOf(finish.claim.entry, finish.claim.key);
    m_expiryQueue.push_back({ record.offset, key, finish.claimId });
    active_claim& claim = addOrRefresh(key, finish.claimId, finish.claim, record.offset);
    if (claim.finish)
        return;
    claim.finish = finish;
    m_answerBytes += finish.answer.body.size();
    m_answerQueue.push_back({ record.offset, key, finish.claimId });
    enforceAnswerLimit();
}

void claim_table::applyWithdrawal(const log_record& record, const claim_withdrawal& withdrawal)
{
    claim_status& status = m_claimStatuses[withdrawal.claimId];
    status.offset = record.offset;
    m_expiryQueue.push_back({ record.offset, status.key, withdrawal.claimId });
    const active_claim* claim = find(status.key, withdrawal.claimId);
    if (claim != nullptr && claim->finish)
        return;
    status.state = claim_state::Withdrawn;
    erase(status.key, withdrawal.claimId);
}

active_claim& claim_table::addOrRefresh(const std::string& key, const std::string& claimId, const key_claim& claim, std::uint64_t offset)
{
    active_claim* known = find(key, claimId);
    if (known == nullptr)
        known = &m_activeClaims[key].emplace_back(active_claim { claimId, claim, offset, std::nullopt });
    known->lastOffset = offset;
    return *known;
}

active_claim* claim_table::find(const std::string& key, const std::string& claimId)
{
    const std::unordered_map<std::string, std::vector<active_claim>>::iterator it = m_activeClaims.find(key);
    if (it == m_activeClaims.end())
        return nullptr;
    const std::vector<active_claim>::iterator claim = std::find_if(it->second.begin(), it->second.end(),
        [&claimId](const active_claim& candidate) { return candidate.claimId == claimId; });
    return claim == it->second.end() ? nullptr : &*claim;
}

void claim_table::erase(const std::string& key, const std::string& claimId)
{
    active_claim* claim = find(key, claimId);
    if (claim == nullptr)
        return;
    dropAnswer(*claim);
    std::vector<active_claim>& claims = m_activeClaims.at(key);
    std::erase_if(claims, [&claimId](const active_claim& candidate) { return candidate.claimId == claimId; });
    if (claims.empty())
        m_activeClaims.erase(key);
}

void claim_table::enforceAnswerLimit()
{
    while (m_answerBytes > m_maxAnswerBytes && !m_answerQueue.empty()) {
        active_claim* claim = find(m_answerQueue.front().key, m_answerQueue.front().claimId);
        if (claim != nullptr)
            dropAnswer(*claim);
        m_answerQueue.pop_front();
    }
}

void claim_table::dropAnswer(active_claim& claim)
{
    if (!claim.finish)
        return;
    m_answerBytes -= claim.finish->answer.body.size();
    claim.finish->answer.body = std::string();
    claim.finish->answer.isBodyKept = false;
}

void claim_table::removeExpired()
{
    while (!m_expiryQueue.empty() && m_expiryQueue.front().offset + m_maxAge < m_position) {
        const expiry_item item = std::move(m_expiryQueue.front());
        m_expiryQueue.pop_front();
        const active_claim* claim = find(item.key, item.claimId);
        if (claim != nullptr && claim->lastOffset == item.offset)
            erase(item.key, item.claimId);
        const std::unordered_map<std::string, claim_status>::const_iterator status = m_claimStatuses.find(item.claimId);
        if (status != m_claimStatuses.end() && status->second.offset == item.offset)
            m_claimStatuses.erase(status);
    }
    while (!m_answerQueue.empty() && m_answerQueue.front().offset + m_maxAge < m_position)
        m_answerQueue.pop_front();
}

claim_state claim_table::state(std::string_view claimId) const
{
    const std::unordered_map<std::string, claim_status>::const_iterator it = m_claimStatuses.find(std::string(claimId));
    return it == m_claimStatuses.end() ? claim_state::Unseen : it->second.state;
}

const active_claim* claim_table::oldestActiveClaim(std::string_view entry, std::string_view key) const
{
    const std::unordered_map<std::string, std::vector<active_claim>>::const_iterator it = m_activeClaims.find(keyOf(entry, key));
    return it == m_activeClaims.end() ? nullptr : &it->second.front();
}

std::optional<claim_refusal> claim_table::refusal(const key_claim& claim, std::string_view claimId) const
{
    const std::unordered_map<std::string, std::vector<active_claim>>::const_iterator it = m_activeClaims.find(keyOf(claim.entry, claim.key));
    if (it == m_activeClaims.end() || state(claimId) == claim_state::Won)
        return std::nullopt;
    const active_claim* holder = nullptr;
    for (const active_claim& candidate : it->second) {
        const bool isOther = candidate.claimId != claimId;
        if (isOther && (holder == nullptr || (candidate.finish && !holder->finish)))
            holder = &candidate;
    }
    if (holder == nullptr)
        return std::nullopt;
    return refusalBy(*holder, claim);
}

}
