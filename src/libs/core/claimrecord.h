#pragma once

#include "resultcode.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ragwortreach {

/// Claim of an idempotency key by one call, identified by the id of its log record.
struct key_claim {
    std::string entry;
    std::string key;
    /// Hash of the request body, to distinguish a retry from a different call with the same key.
    std::string bodyHash;
    /// VM that runs the call if the claim wins, and the incarnation of its daemon.
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const key_claim&) const = default;
};

/// Answer of an upstream as it is recorded in the log.
struct recorded_answer {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False when the body is left out because it exceeds maxRecordedBodyBytes or is not UTF-8.
    bool isBodyKept = true;

    bool operator==(const recorded_answer&) const = default;
};

/// Outcome of a call that was run, or that may have run.
struct claim_finish {
    std::string claimId;
    key_claim claim;
    /// Ok, or OutcomeUnknown when it cannot be determined whether the call ran.
    result_code code = result_code::Ok;
    recorded_answer answer;

    bool operator==(const claim_finish&) const = default;
};

/// Withdrawal of a claim by its writer, which does not run the call afterwards. Recorded with the kind `void`.
struct claim_withdrawal {
    std::string claimId;

    bool operator==(const claim_withdrawal&) const = default;
};

/// Data of one record of the stream `claims`.
using claim_record = std::variant<key_claim, claim_finish, claim_withdrawal>;

/// Longest idempotency key, in bytes.
constexpr std::size_t maxIdempotencyKeyLength = 128;

/// Longest body that is recorded with an answer, in bytes.
constexpr std::size_t maxRecordedBodyBytes = 2048;

/// Reads a record. Returns none when \a text is malformed, too long or has an unknown schema.
std::optional<claim_record> parseClaimRecord(std::string_view text);

/// JSON text of \a record. A body that is too long or not UTF-8 is left out.
std::string toJson(const claim_record& record);

}
