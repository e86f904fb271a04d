#pragma once

#include "claimrecord.h"
#include "instant.h"
#include "resultcode.h"

#include <cstdint>
#include <string>

namespace ragwortreach {

/// Number that the daemon gives to a request of a caller or a peer; unique in one process.
using request_number = std::uint64_t;

/// Call of a caller, as far as the decisions about it need to know.
struct call_arrived {
    request_number number = 0;
    /// Id that the caller or the daemon chose; the time line shows it.
    std::string requestId;
    std::string entry;
    std::string owner;
    /// Empty when the caller sent none.
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    /// Calls with the same hash share a prompt.
    std::uint64_t prefixHash = 0;
    /// Time the caller allows; zero leaves it to the entry.
    duration callerTimeout {};
};

/// An attempt at an upstream ended.
struct attempt_ended {
    request_number number = 0;
    std::uint32_t attempt = 0;
    /// Ok when the answer arrived whole, whatever its status.
    result_code code = result_code::Ok;
    /// The upstream says that the call did not run.
    bool isRefusedBeforeRun = false;
    /// A part of the answer has gone to the caller, so that no other attempt can answer.
    bool hasAnswerStarted = false;
    /// Answer as it is kept for repeated calls with the same key.
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
    /// Whether a pooled connection may be used; false for calls that must not run twice.
    bool mayReuseConnection = true;
};

/// Close the connection of an attempt.
struct stop_attempt {
    request_number number = 0;
    std::uint32_t attempt = 0;
};

/// Let the answer of the attempt that ended go to the caller.
struct forward_answer {
    request_number number = 0;
};

/// Answer the call with the answer that an earlier call with the same key got.
struct replay_answer {
    request_number number = 0;
    recorded_answer answer;
};

/// Answer the call with a problem document.
struct refuse_call {
    request_number number = 0;
    result_code code = result_code::Internal;
    std::string detail;
    /// Zero for no Retry-After header.
    std::chrono::seconds retryAfter {};
};

}
