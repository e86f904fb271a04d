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

/// What the log says about one claim.
enum class claim_state {
    /// No record with this id is seen yet, or it is forgotten.
    Unseen,
    /// The claim holds its key: its writer alone may run the call.
    Won,
    /// Another claim held the key when the record came.
    Lost,
    /// Its writer withdrew it.
    Voided,
};

/// Claim that holds its key, or would hold it if it had come earlier.
struct standing_claim {
    std::string claimId;
    key_claim claim;
    /// Offset of the last record of this claim.
    std::uint64_t lastOffset = 0;
    /// Outcome, once it is in the log.
    std::optional<claim_finish> finish;
};

/// Why a call may not run: its key is held by another claim.
struct claim_refusal {
    /// KeyConflict, KeyInUse, OutcomeUnknown or AlreadyRan; Ok when \c answer can be repeated.
    result_code code = result_code::KeyInUse;
    recorded_answer answer;
};

/// Fold of the stream `claims`: a claim wins when no other claim of the same key of an entry stands.
///
/// A claim stands, won or lost, until its writer withdraws it or until it is \c maxClaimAge records old.
/// Lost claims have to stand as well: a reader that began later may have seen one of them win. The withdrawal
/// also counts for a claim that only comes later in the log.
///
/// Two calls with one key both run only when there are \c maxClaimAge records between them, or when the
/// retention of the log is shorter than that. A reader may act on the claims that it appends once it has read
/// as many records, see isComplete(). Readers that began at different offsets may disagree on a claim, but
/// never so that two claims within that distance win.
class claim_table {
public:
    static constexpr std::uint64_t maxClaimAge = 262144;
    /// Recorded bodies together; the oldest ones are dropped first.
    static constexpr std::size_t maxAnswerBytes = 16777216;

    explicit claim_table(std::uint64_t maxAge = maxClaimAge, std::size_t maxBytes = maxAnswerBytes);

    /// Offset at which a fresh reader begins when the log ends at \a end.
    std::uint64_t startFor(std::uint64_t end) const { return end > m_maxAge ? end - m_maxAge : 0; }

    /// Begins at \a offset, before the first record. Records below it are left unread, or are no longer
    /// retained by the log when \a isOldestRetained is set.
    void startAt(std::uint64_t offset, bool isOldestRetained);

    /// Continues at \a offset because the log holds nothing between the position and there.
    void skipTo(std::uint64_t offset);

    /// Applies \a record. Records below the position have no effect, malformed ones are counted.
    void apply(const log_record& record);

    claim_state state(std::string_view claimId) const;
    /// Oldest claim of \a key of \a entry that stands; nullptr when it is free.
    const standing_claim* standing(std::string_view entry, std::string_view key) const;
    /// Why \a claim, written under \a claimId, may not run; none when its key is free or its own.
    std::optional<claim_refusal> refusal(const key_claim& claim, std::string_view claimId) const;

    /// Offset of the next record to apply.
    std::uint64_t position() const { return m_position; }
    /// Whether enough of the log is read to act on claims.
    bool isComplete() const;
    std::uint64_t gaps() const { return m_gaps; }
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    /// Keys with claims that stand.
    std::size_t size() const { return m_standing.size(); }

private:
    struct record_applier;

    struct claim_note {
        claim_state state = claim_state::Unseen;
        std::uint64_t offset = 0;
        /// Key of the claim; empty while only its withdrawal is known.
        std::string key;
    };
    /// Claim that a record named, to be forgotten if no later record does.
    struct aging_item {
        std::uint64_t offset = 0;
        std::string key;
        std::string claimId;
    };

    void applyClaim(const log_record& record, const key_claim& claim);
    void applyFinish(const log_record& record, const claim_finish& finish);
    void applyVoid(const log_record& record, const claim_void& withdrawal);
    standing_claim& stand(const std::string& key, const std::string& claimId, const key_claim& claim, std::uint64_t offset);
    standing_claim* find(const std::string& key, const std::string& claimId);
    void erase(const std::string& key, const std::string& claimId);
    void limitAnswers();
    void dropAnswer(standing_claim& claim);
    void forgetOld();

    std::uint64_t m_maxAge;
    std::size_t m_maxBytes;
    std::uint64_t m_position = 0;
    /// First record read, 0 when the log has no older one.
    std::uint64_t m_readFrom = 0;
    std::uint64_t m_gaps = 0;
    std::uint64_t m_skippedRecords = 0;
    std::size_t m_answerBytes = 0;
    std::unordered_map<std::string, std::vector<standing_claim>> m_standing;
    std::unordered_map<std::string, claim_note> m_notes;
    std::deque<aging_item> m_aging;
    std::deque<aging_item> m_answers;
};

}
