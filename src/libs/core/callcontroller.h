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

/// Decides about the calls of callers: whether, where and how often they run.
///
/// A call is repeated only when its entry is idempotent or when the attempt certainly did not run.
/// A call of a non-idempotent entry that carries an idempotency key is claimed in the log first.
class call_controller {
public:
    explicit call_controller(daemon_context& context);

    void tick();
    void handle(const call_arrived& event);
    void handle(const attempt_ended& event);
    void handle(const caller_gone& event);
    /// Each returns whether the event belonged to the claims.
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
        std::vector<std::string> tried;
        /// VM of the attempt under way; empty when there is none.
        std::string vm;
        std::unique_ptr<keyed_call> order;
        bool hasWholeAnswer = false;
        bool isCallerGone = false;
    };
    /// Event of an order that waits until the present one is handled.
    struct pending_order_event {
        request_number number = 0;
        keyed_call_event event;
    };
    using call_map = std::map<request_number, call_state>;

    std::optional<refuse_call> refusal(const call_arrived& event) const;
    void startOrder(call_state& state);
    void startFirstAttempt(call_state& state);
    /// Returns false when no replica is left that was not tried.
    bool startAttempt(call_state& state);
    void endAttempt(call_state& state, const attempt_ended& event);
    void noteAttempt(const call_state& state, const attempt_ended& event);
    bool mayRepeat(const call_state& state, const attempt_ended& event) const;
    void endUnrun(call_state& state, result_code code, const std::string& detail);
    void endBroken(call_state& state, const attempt_ended& event);
    void runOrder(request_number number, const keyed_call_event& event);
    void handleOrderEvent(const pending_order_event& next);
    /// Returns whether the call is over.
    bool carryOut(call_state& state, const keyed_call_effect& effect);
    void answerOrder(call_state& state, const keyed_call_effects::answer_caller& answer);
    void answer(call_state& state);
    void refuse(call_state& state, result_code code, const std::string& detail);
    void tickOrders();
    void finish(request_number number);

    daemon_context& m_context;
    claim_tail m_claims;
    stream_appender m_appender;
    call_map m_calls;
    std::set<request_number> m_orders;
    std::deque<pending_order_event> m_orderEvents;
    bool m_isRunningOrders = false;
    std::map<std::string, std::uint32_t, std::less<>> m_inFlight;
};

}
