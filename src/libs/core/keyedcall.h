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

/// What became of an append to the log.
enum class append_outcome {
    Appended,
    /// The record is not in the log.
    Failed,
    /// The reply was lost; the record may be in the log or come to it later.
    Unknown,
};

namespace keyed_call_events {

    /// The call begins.
    struct started {
        /// Whether the log is known to be down.
        bool isLogDown = false;
    };

    /// Result of append_record.
    struct append_finished {
        std::string recordId;
        append_outcome outcome = append_outcome::Unknown;
    };

    /// The upstream answered whole.
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

    /// Time has passed, or the fold of claims has moved.
    struct tick {
    };

}

using keyed_call_event = std::variant<keyed_call_events::started, keyed_call_events::append_finished, keyed_call_events::upstream_answered,
    keyed_call_events::upstream_not_run, keyed_call_events::upstream_unknown, keyed_call_events::caller_gone, keyed_call_events::tick>;

namespace keyed_call_effects {

    /// Append a record to the stream `claims`. Repeated with the same id while its outcome is unknown.
    struct append_record {
        std::string recordId;
        std::string data;

        bool operator==(const append_record&) const = default;
    };

    /// Send the call to an upstream. Emitted at most once.
    struct run_upstream {
        bool operator==(const run_upstream&) const = default;
    };

    /// Answer the caller. Emitted at most once; not at all when the caller is gone.
    struct answer_caller {
        result_code code = result_code::Internal;
        /// Answer of the upstream, or of an earlier call with the same key, when code is Ok.
        recorded_answer answer;

        bool operator==(const answer_caller&) const = default;
    };

    /// Nothing is left to do; the machine may be destroyed.
    struct call_finished {
        bool operator==(const call_finished&) const = default;
    };

}

using keyed_call_effect = std::variant<keyed_call_effects::append_record, keyed_call_effects::run_upstream, keyed_call_effects::answer_caller,
    keyed_call_effects::call_finished>;

/// Settings of one call of a non-idempotent entry.
struct keyed_call_settings {
    /// Unique id of the claim record, never used for another call.
    std::string claimId;
    key_claim claim;
    log_outage logOutage = log_outage::Refuse;
    /// Time at which the caller stops waiting.
    instant deadline;
};

/// One call of a non-idempotent entry: it runs at most once among all calls with the same idempotency key.
///
/// The claim is appended first; the call runs when the claim has won in the fold of the stream. A claim whose
/// append has no reply is looked up by its id and appended again under the same id only. When the claim is not
/// seen by half of the time that is left until it is due, the call is never run, the caller hears "not run",
/// and the claim is withdrawn, so that it holds its key no longer if it comes late.
///
/// While the log is down, Refuse answers ClaimUnavailable. RunOnce runs the call without a claim and without a
/// retry: a second call with the same key may then run at another VM.
class keyed_call {
public:
    static constexpr duration retryPeriod = std::chrono::milliseconds(200);
    /// Longest time that RunOnce waits for a log that fails.
    static constexpr duration outageWait = std::chrono::milliseconds(250);
    /// Time for which the outcome or the withdrawal is appended again.
    static constexpr duration recordPatience = std::chrono::minutes(2);

    /// \a fold must outlive the call.
    keyed_call(const claim_table& table, keyed_call_settings settings);

    std::vector<keyed_call_effect> handle(const keyed_call_event& event, instant now);

    bool isFinished() const { return m_phase == phase::Finished; }
    const keyed_call_settings& settings() const { return m_settings; }

private:
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
    void noteAppend(const keyed_call_events::append_finished& event);
    void noteAnswer(const recorded_answer& answer);
    void noteNotRun(result_code code);
    void noteUnknown(result_code code);
    void noteCallerGone();
    void advance();

    void advanceClaim();
    void giveUpClaim();
    void run();
    void refuse(result_code code, const recorded_answer& answer = {});
    void answer(result_code code, const recorded_answer& answer);
    void recordVoid();
    void recordFinish(result_code code, const recorded_answer& answer);
    void startRecording(std::string_view suffix, const claim_record& record);
    void append(const std::string& recordId, const std::string& data);
    void finish();
    bool mayBeAppended() const { return m_wasClaimSent || (m_phase == phase::Claiming && m_isAppendPending); }

    const claim_table& m_table;
    keyed_call_settings m_settings;
    phase m_phase = phase::Idle;
    bool m_isLogDown = false;
    bool m_isAnswered = false;
    /// Whether an append of the claim may have taken effect.
    bool m_wasClaimSent = false;
    bool m_isAppendPending = false;
    std::string m_recordId;
    std::string m_recordData;
    instant m_now;
    instant m_startedAt;
    instant m_retryAt;
    instant m_recordUntil;
    std::vector<keyed_call_effect> m_effects;
};

}
