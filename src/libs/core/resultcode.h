#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Numbered outcome of a request, a weight load order or a message.
///
/// Callers and operators see the numbers, so they never change. docs/RESULT-CODES.md lists them all.
enum class result_code : int {
    Ok = 0,

    MalformedRequest = 100,
    UnknownEntry = 101,
    WrongOwner = 102,
    BodyTooLarge = 103,
    HeaderTooLarge = 104,
    UnknownRoute = 105,
    MethodNotAllowed = 106,
    ValueOutOfRange = 107,
    IdempotencyKeyMissing = 108,

    DueTimeUnreachable = 200,
    QueueFull = 201,
    OwnerLimitReached = 202,
    NoUpstream = 203,
    Draining = 204,
    ClaimUnavailable = 205,
    RetryBudgetSpent = 206,
    ShedForCapacity = 207,
    RequestQuarantined = 208,
    MemoryFull = 209,

    UpstreamUnreachable = 300,
    UpstreamBroken = 301,
    UpstreamTimeout = 302,
    UpstreamTruncated = 303,
    VersionMissing = 304,
    OutcomeUnknown = 305,
    UpstreamRefused = 306,
    CallerGone = 307,
    UpstreamInvalid = 308,

    KeyConflict = 400,
    KeyInUse = 401,
    BatchConflict = 402,
    UnknownBatch = 403,
    BatchCancelled = 404,
    EditConflict = 405,
    EditInvalid = 406,
    AlreadyRan = 407,

    LogUnavailable = 500,
    LogTruncated = 501,
    AppendUnknown = 502,
    VmListUnavailable = 503,
    WeightStoreUnavailable = 504,
    ScorerUnavailable = 505,

    SettingsUnreadable = 600,
    SettingsUnknownKey = 601,
    SettingsWrongType = 602,
    SettingsOutOfRange = 603,
    AddressInUse = 604,

    PeerUnreachable = 700,
    PeerTimeout = 701,
    MalformedMessage = 702,
    NotBatchOwner = 703,

    Internal = 900,
};

/// Whether an upstream executed the request.
enum class run_state {
    No,
    Yes,
    Unknown,
};

/// Properties of a result code: execution state, HTTP status, name and description.
struct result_code_info {
    result_code code;
    run_state run;
    int httpStatus;
    std::string_view name;
    std::string_view text;
};

/// All result codes, ordered by number.
std::span<const result_code_info> resultCodes();

/// Properties of \a code; those of result_code::Internal when the code is unknown.
const result_code_info& resultCodeInfo(result_code code);

/// "no", "yes" or "unknown".
std::string_view toString(run_state state);

/// Category of all errors that carry a result_code.
const std::error_category& resultCategory();

std::error_code make_error_code(result_code code);

}

template <>
struct std::is_error_code_enum<ragwortreach::result_code> : std::true_type {
};
