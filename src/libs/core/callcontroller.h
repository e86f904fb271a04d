#pragma once

#include "callmessage.h"
#include "catalogueentry.h"
#include "claimtail.h"
#include "daemonevent.h"
#include "keyedcall.h"
#include "streamappender.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Decides for each call of a caller whether it is accepted, which replica runs it and whether it is retried.
///
/// A call is retried only when its entry is idempotent or when the attempt certainly did not run.
/// A call of a non-idempotent entry with an idempotency key first claims the key in the log, see keyed_call.
class call_controller {
public:
    explicit call_controller(daemon_context& context);

    /// Reads the claims and lets waiting keyed calls continue. To be called periodically.
    void tick();
    void handle(const call_arrived& event);
    void handle(const attempt_ended& event);
    void handle(const caller_gone& event);
    /// Each of these returns whether the event belonged to the log stream of claims.
    bool handle(const log_read_ended& event);
    bool handle(const append_ended& event);

    std::size_t openCalls() const { return m_calls.size(); }

private:
    struct call_state {
        call_arrived call;
        catalogue_entry entry;
        instant arrivedAt {};
        instant deadline {};
        std::uint32_t attempts = 0;
        std::vector<std::string> triedVms;
        /// VM of the latest attempt; empty before the first.
        std::string vm;
        /// Set for calls with an idempotency key to a non-idempotent entry.
        std::unique_ptr<keyed_call> keyedCall;
        bool hasCompleteAnswer = false;
        bool isCallerGone = false;
    };
    /// Event for a keyed call. Events that arise while another one is handled wait in a queue, see runKeyedCall().
    struct pending_keyed_event {
        request_number number = 0;
        keyed_call_event event;
    };
    using call_map = std::map<request_number, call_state>;

    /// Reason to refuse a new call; none when it is accepted.
    std::optional<refuse_call> refusal(const call_arrived& event) const;
    void startKeyedCall(call_state& state);
    void startFirstAttempt(call_state& state);
    /// Starts an attempt at a replica that was not tried yet. Returns false when there is none.
    bool startAttempt(call_state& state);
    void endAttempt(call_state& state, const attempt_ended& event);
    void recordAttempt(const call_state& state, const attempt_ended& event);
    bool mayRetry(const call_state& state, const attempt_ended& event) const;
    /// Ends a call that certainly did not run.
    void endNotRun(call_state& state, result_code code, const std::string& detail);
    /// Ends a call that may have run but has no complete answer.
    void endFailed(call_state& state, const attempt_ended& event);
    /// Passes \a event to the keyed call and executes the effects. May be called again while it runs.
    void runKeyedCall(request_number number, const keyed_call_event& event);
    void handleKeyedEvent(const pending_keyed_event& next);
    /// Executes an effect of a keyed call. Returns whether the call is over.
    bool carryOut(call_state& state, const keyed_call_effect& effect);
    void answerKeyedCall(call_state& state, const keyed_call_effects::answer_caller& answer);
    void answer(call_state& state);
    void refuse(call_state& state, result_code code, const std::string& detail);
    void tickKeyedCalls();
    /// Removes the call.
    void finish(request_number number);

    daemon_context& m_context;
    claim_tail m_claims;
    stream_appender m_appender;
    call_map m_calls;
    std::set<request_number> m_keyedCalls;
    std::deque<pending_keyed_event> m_keyedEvents;
    bool m_isHandlingKeyedEvents = false;
    /// Number of open calls by entry.
    std::map<std::string, std::uint32_t, std::less<>> m_inFlight;
};

}
