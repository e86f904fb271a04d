#pragma once

#include "claimrecord.h"
#include "instant.h"
#include "resultcode.h"

#include <cstdint>
#include <string>

namespace ragwortreach {

/// Number that the daemon assigns to a request of a caller or a peer; unique in one process.
using request_number = std::uint64_t;

/// A call of a caller arrived. Contains what the call_controller needs to decide; the body stays with the HTTP server.
struct call_arrived {
    request_number number = 0;
    /// Id chosen by the caller or the daemon, shown in the time line.
    std::string requestId;
    /// Catalogue entry that the caller wants to call.
    std::string entry;
    /// Owner of the entry as the caller states it; empty when it did not.
    std::string owner;
    /// Empty when the caller sent none.
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    /// Calls with the same hash share a prompt; 0 when there is none.
    std::uint64_t prefixHash = 0;
    /// Time-out requested by the caller; zero means that of the entry, which is also the maximum.
    duration callerTimeout {};
};

/// An attempt at an upstream ended.
struct attempt_ended {
    request_number number = 0;
    /// Counts from 1 in each call.
    std::uint32_t attempt = 0;
    /// Ok when the complete answer arrived, whatever its HTTP status.
    result_code code = result_code::Ok;
    /// The upstream refused the call and reported that it did not run.
    bool isRefusedBeforeRun = false;
    /// A part of the answer was already sent to the caller, so that no other attempt can answer the call.
    bool hasAnswerStarted = false;
    /// Answer to be recorded for repeated calls with the same idempotency key.
    recorded_answer answer;
    std::string detail;
};

/// The caller closed its connection.
struct caller_gone {
    request_number number = 0;
};

/// Send the call to the upstream at \a address.
struct start_attempt {
    request_number number = 0;
    std::uint32_t attempt = 0;
    std::string vm;
    std::string address;
    duration timeout {};
    /// Whether a pooled connection may be used; false for calls of non-idempotent entries, which must not run twice.
    bool mayReuseConnection = true;
};

/// Close the connection of an attempt.
struct stop_attempt {
    request_number number = 0;
    std::uint32_t attempt = 0;
};

/// Forward the answer of the latest attempt to the caller.
struct forward_answer {
    request_number number = 0;
};

/// Answer the call with the recorded answer of an earlier call with the same idempotency key.
struct replay_answer {
    request_number number = 0;
    recorded_answer answer;
};

/// Answer the call with an error, as a problem document (application/problem+json).
struct refuse_call {
    request_number number = 0;
    result_code code = result_code::Internal;
    std::string detail;
    /// Zero for no Retry-After header.
    std::chrono::seconds retryAfter {};
};

}
