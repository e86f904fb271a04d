#pragma once

#include "claimrecord.h"
#include "logrecord.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortreach {

/// State of one claim according to the log.
enum class claim_state {
    /// No record with this id was read yet, or it has expired.
    Unseen,
    /// The claim holds its key: only its writer may run the call.
    Won,
    /// Another claim of the key was active when the record of this one was read.
    Lost,
    /// The writer of the claim withdrew it.
    Withdrawn,
};

/// Claim, won or lost, that was neither withdrawn nor has expired. While there is one, no other claim of the key wins.
struct active_claim {
    std::string claimId;
    key_claim claim;
    /// Offset of the latest record of this claim, from which its age counts.
    std::uint64_t lastOffset = 0;
    /// Outcome of the call, once it was read from the log.
    std::optional<claim_finish> finish;
};

/// Reason why a call may not run: there is another claim of its key.
struct claim_refusal {
    /// KeyConflict, KeyInUse, OutcomeUnknown or AlreadyRan; Ok when the caller gets the recorded \c answer.
    result_code code = result_code::KeyInUse;
    recorded_answer answer;
};

/// Claims of idempotency keys, built by applying the records of the stream `claims` in order. A claim wins when no other
/// claim of the same key and entry is active.
///
/// A claim, won or lost, is active until its writer withdraws it or until maxClaimAge records follow its latest record.
/// Lost claims block the key as well, because a reader that started at a later offset may have seen one of them win. A
/// withdrawal also applies to a claim whose record follows it in the log.
///
/// Two calls with one key can both run only when there are at least maxClaimAge records between them, or when the log
/// retains fewer records than that. A reader may act on its own claims once it has read maxClaimAge records, see
/// coversMaxAge(). Readers that started at different offsets may disagree about a claim, but two claims within
/// maxClaimAge records never both win.
class claim_table {
public:
    /// In records of the stream.
    static constexpr std::uint64_t maxClaimAge = 262144;
    /// Largest sum of all recorded bodies; the oldest are dropped first.
    static constexpr std::size_t maxAnswerBytes = 16777216;

    explicit claim_table(std::uint64_t maxAge = maxClaimAge, std::size_t maxBytes = maxAnswerBytes);

    /// Offset at which a new reader starts when the log ends at \a end.
    std::uint64_t startOffset(std::uint64_t end) const { return end > m_maxAge ? end - m_maxAge : 0; }

    /// Sets the offset of the first record to apply. \a isOldestRetained tells that there is nothing older to read, because
    /// the log no longer retains it; otherwise older records are left unread.
    void startAt(std::uint64_t offset, bool isOldestRetained);

    /// Continues at \a offset because the log has no records between the position and that offset.
    void skipTo(std::uint64_t offset);

    /// Applies \a record. Records below the position have no effect; malformed ones are only counted.
    void apply(const log_record& record);

    /// State of the claim whose record has the id \a claimId.
    claim_state state(std::string_view claimId) const;
    /// Oldest active claim of \a key of \a entry; nullptr when the key is free.
    const active_claim* oldestActiveClaim(std::string_view entry, std::string_view key) const;
    /// Reason why the call of \a claim, recorded as \a claimId, may not run; none when its key is free or held by itself.
    std::optional<claim_refusal> refusal(const key_claim& claim, std::string_view claimId) const;

    /// Offset of the next record to apply.
    std::uint64_t position() const { return m_position; }
    /// Whether enough records were read to act on own claims: maxClaimAge records, or all that the log retains.
    bool coversMaxAge() const;
    /// Number of ranges of offsets that were skipped.
    std::uint64_t gaps() const { return m_gaps; }
    /// Number of malformed records.
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    /// Number of keys with active claims.
    std::size_t size() const { return m_activeClaims.size(); }

private:
    /// Visitor that applies one record.
    struct record_applier;

    struct claim_status {
        claim_state state = claim_state::Unseen;
        /// Offset of the latest claim or withdrawal record.
        std::uint64_t offset = 0;
        /// Key of the claim; empty while only its withdrawal is known.
        std::string key;
    };
    /// Claim named by the record at \c offset. It expires with that record unless a later record names it.
    struct expiry_item {
        std::uint64_t offset = 0;
        std::string key;
        std::string claimId;
    };

    void applyClaim(const log_record& record, const key_claim& claim);
    void applyFinish(const log_record& record, const claim_finish& finish);
    void applyWithdrawal(const log_record& record, const claim_withdrawal& withdrawal);
    /// Adds the claim to the active ones, or updates its latest offset.
    active_claim& addOrRefresh(const std::string& key, const std::string& claimId, const key_claim& claim, std::uint64_t offset);
    active_claim* find(const std::string& key, const std::string& claimId);
    void erase(const std::string& key, const std::string& claimId);
    /// Drops the oldest recorded bodies until the rest is within the limit.
    void enforceAnswerLimit();
    void dropAnswer(active_claim& claim);
    /// Removes claims that are older than the maximum age.
    void removeExpired();

    std::uint64_t m_maxAge;
    std::size_t m_maxAnswerBytes;
    std::uint64_t m_position = 0;
    /// Offset of the first record read; 0 when the log retains none before it.
    std::uint64_t m_readFrom = 0;
    std::uint64_t m_gaps = 0;
    std::uint64_t m_skippedRecords = 0;
    std::size_t m_answerBytes = 0;
    /// By key, see keyOf(); in log order.
    std::unordered_map<std::string, std::vector<active_claim>> m_activeClaims;
    /// By claim id.
    std::unordered_map<std::string, claim_status> m_claimStatuses;
    std::deque<expiry_item> m_expiryQueue;
    /// Claims with a recorded answer, oldest first.
    std::deque<expiry_item> m_answerQueue;
};

}
