#pragma once

#include "catalogueentry.h"
#include "claimrecord.h"
#include "instant.h"
#include "resultcode.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

class claim_table;

/// Result of an append to the log.
enum class append_outcome {
    Appended,
    /// The record is not in the log.
    Failed,
    /// The reply was lost; the record may be in the log or may still be added to it later.
    Unknown,
};

namespace keyed_call_events {

    /// The call arrived. This is the first event.
    struct started {
        /// Whether the log is already known to be down.
        bool isLogDown = false;
    };

    /// Result of append_record.
    struct append_finished {
        std::string recordId;
        append_outcome outcome = append_outcome::Unknown;
    };

    /// The complete answer of the upstream arrived.
    struct upstream_answered {
        recorded_answer answer;
    };

    /// The upstream certainly did not run the call.
    struct upstream_not_run {
        /// A code whose run state is No.
        result_code code = result_code::UpstreamUnreachable;
    };

    /// The call may have run.
    struct upstream_unknown {
        /// A code whose run state is Unknown.
        result_code code = result_code::OutcomeUnknown;
    };

    /// The caller closed its connection.
    struct caller_gone {
    };

    /// Time has passed, or the claim table has applied more records.
    struct tick {
    };

}

using keyed_call_event = std::variant<keyed_call_events::started, keyed_call_events::append_finished, keyed_call_events::upstream_answered,
    keyed_call_events::upstream_not_run, keyed_call_events::upstream_unknown, keyed_call_events::caller_gone, keyed_call_events::tick>;

namespace keyed_call_effects {

    /// Append a record to the stream `claims`. Emitted again with the same id while the record is not known to be in the log.
    struct append_record {
        std::string recordId;
        std::string data;

        bool operator==(const append_record&) const = default;
    };

    /// Send the call to an upstream. Emitted at most once.
    struct run_upstream {
        bool operator==(const run_upstream&) const = default;
    };

    /// Answer the caller. Emitted at most once, and not after caller_gone.
    struct answer_caller {
        result_code code = result_code::Internal;
        /// With code Ok: answer of the upstream, or recorded answer of an earlier call with the same key.
        recorded_answer answer;

        bool operator==(const answer_caller&) const = default;
    };

    /// Nothing is left to do; the state machine may be destroyed.
    struct call_finished {
        bool operator==(const call_finished&) const = default;
    };

}

using keyed_call_effect = std::variant<keyed_call_effects::append_record, keyed_call_effects::run_upstream, keyed_call_effects::answer_caller,
    keyed_call_effects::call_finished>;

/// Settings of one call with an idempotency key.
struct keyed_call_settings {
    /// Id of the claim record, never used for another call.
    std::string claimId;
    key_claim claim;
    log_outage logOutage = log_outage::Refuse;
    /// Time at which the caller stops waiting for the answer.
    instant deadline;
};

/// State machine of one call with an idempotency key to a non-idempotent entry: of all calls with the same key, at most
/// one runs.
///
/// A claim of the key is appended to the log first, and the call runs once the claim has won in the claim table. If the
/// append gets no reply, the claim is looked up in the table by its id and appended again only under the same id. If the
/// claim was not read back after half of the time until the deadline, the call is not run, the caller is told so, and
/// the claim is withdrawn, so that it does not hold its key if it still reaches the log.
///
/// While the log is down, log_outage::Refuse refuses the call with ClaimUnavailable. log_outage::RunOnce runs it without
/// a claim and without retries; a second call with the same key may then run at another VM.
class keyed_call {
public:
    /// Time until an append is repeated.
    static constexpr duration retryPeriod = std::chrono::milliseconds(200);
    /// Time for which log_outage::RunOnce waits for a log that is down before it runs the call without a claim.
    static constexpr duration outageWait = std::chrono::milliseconds(250);
    /// Time for which the append of the outcome or of the withdrawal is repeated.
    static constexpr duration recordTimeout = std::chrono::minutes(2);

    /// \a table must outlive the call.
    keyed_call(const claim_table& table, keyed_call_settings settings);

    /// Applies \a event and returns the effects to execute, in order.
    std::vector<keyed_call_effect> handle(const keyed_call_event& event, instant now);

    bool isFinished() const { return m_phase == phase::Finished; }
    const keyed_call_settings& settings() const { return m_settings; }

private:
    /// Visitor that passes an event to its handler function.
    struct event_handler;

    enum class phase {
        Idle,
        /// The claim is being appended and looked up.
        Claiming,
        Running,
        /// The outcome or the withdrawal is being appended.
        Recording,
        Finished,
    };

    void start(bool isLogDown);
    void onAppendFinished(const keyed_call_events::append_finished& event);
    void onUpstreamAnswered(const recorded_answer& answer);
    void onUpstreamNotRun(result_code code);
    void onUpstreamUnknown(result_code code);
    void onCallerGone();
    /// Does all that time, the claim table or a finished append make possible.
    void advance();

    void advanceClaim();
    /// Ends the wait for the claim: runs the call without it under log_outage::RunOnce, refuses the call otherwise.
    void abandonClaim();
    void run();
    /// Answers the caller and withdraws the claim.
    void refuse(result_code code, const recorded_answer& answer = {});
    void answer(result_code code, const recorded_answer& answer);
    void recordWithdrawal();
    void recordFinish(result_code code, const recorded_answer& answer);
    /// Appends \a record under the claim id with \a suffix until it is in the log or recordTimeout is over.
    void startRecording(std::string_view suffix, const claim_record& record);
    void append(const std::string& recordId, const std::string& data);
    void finish();
    /// Whether the claim may be in the log or may still reach it, so that it has to be withdrawn.
    bool needsWithdrawal() const { return m_mayClaimBeInLog || (m_phase == phase::Claiming && m_isAppendPending); }

    const claim_table& m_table;
    keyed_call_settings m_settings;
    phase m_phase = phase::Idle;
    bool m_isLogDown = false;
    bool m_isAnswered = false;
    /// Whether an append of the claim succeeded or its reply was lost.
    bool m_mayClaimBeInLog = false;
    bool m_isAppendPending = false;
    /// Record that is being appended.
    std::string m_recordId;
    std::string m_recordData;
    instant m_now;
    instant m_startedAt;
    instant m_retryAt;
    instant m_recordUntil;
    std::vector<keyed_call_effect> m_effects;
};

}
