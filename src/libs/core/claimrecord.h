#pragma once

#include "resultcode.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace ragwortreach {

/// Claim of an idempotency key by one call. The id of its log record identifies it.
struct key_claim {
    std::string entry;
    std::string key;
    /// Hash of the request, to tell a retry from another call with the same key.
    std::string bodyHash;
    /// VM that will run the call, and its incarnation.
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const key_claim&) const = default;
};

/// Answer of an upstream as far as the log keeps it.
struct recorded_answer {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False when the body was too large to be kept, or not UTF-8.
    bool isBodyKept = true;

    bool operator==(const recorded_answer&) const = default;
};

/// Outcome of a call that was run, or that may have run.
struct claim_finish {
    std::string claimId;
    key_claim claim;
    /// Ok, or OutcomeUnknown when nobody can tell whether the call ran.
    result_code code = result_code::Ok;
    recorded_answer answer;

    bool operator==(const claim_finish&) const = default;
};

/// Withdrawal of a claim by its own writer, which never runs the call from then on.
struct claim_withdrawal {
    std::string claimId;

    bool operator==(const claim_withdrawal&) const = default;
};

/// Data of one record of the stream `claims`.
using claim_record = std::variant<key_claim, claim_finish, claim_withdrawal>;

/// Longest idempotency key, in bytes.
constexpr std::size_t maxIdempotencyKeyLength = 128;

/// Longest body of an answer that a finish record keeps, in bytes.
constexpr std::size_t maxRecordedBodyBytes = 2048;

/// Reads a record; none when \a text is malformed, too long or of another schema.
std::optional<claim_record> parseClaimRecord(std::string_view text);

/// JSON text of \a record. A body that cannot be kept is left out.
std::string toJson(const claim_record& record);

}
