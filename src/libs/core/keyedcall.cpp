#include "keyedcall.h"

#include "claimtable.h"

#include <utility>

namespace ragwortreach {

struct keyed_call::event_handler {
    keyed_call& call;

    void operator()(const keyed_call_events::started& event) const { call.start(event.isLogDown); }
    void operator()(const keyed_call_events::append_finished& event) const { call.onAppendFinished(event); }
    void operator()(const keyed_call_events::upstream_answered& event) const { call.onUpstreamAnswered(event.answer); }
    void operator()(const keyed_call_events::upstream_not_run& event) const { call.onUpstreamNotRun(event.code); }
    void operator()(const keyed_call_events::upstream_unknown& event) const { call.onUpstreamUnknown(event.code); }
    void operator()(const keyed_call_events::caller_gone&) const { call.onCallerGone(); }
    void operator()(const keyed_call_events::tick&) const { call.advance(); }
};

keyed_call::keyed_call(const claim_table& table, keyed_call_settings settings)
    : m_table(table)
    , m_settings(std::move(settings))
{
}

std::vector<keyed_call_effect> keyed_call::handle(const keyed_call_event& event, instant now)
{
    m_now = now;
    std::visit(event_handler { *this }, event);
    return std::exchange(m_effects, {});
}

void keyed_call::start(bool isLogDown)
{
    if (m_phase != phase::Idle)
        return;
    m_startedAt = m_now;
    m_isLogDown = isLogDown || !m_table.coversMaxAge();
    if (const std::optional<claim_refusal> refusal = m_table.refusal(m_settings.claim, m_settings.claimId))
        return refuse(refusal->code, refusal->answer);
    if (m_now >= m_settings.deadline)
        return refuse(result_code::DueTimeUnreachable);
    if (m_isLogDown && m_settings.logOutage == log_outage::Refuse)
        return refuse(result_code::ClaimUnavailable);
    if (m_isLogDown)
        return run();
    m_phase = phase::Claiming;
    append(m_settings.claimId, toJson(claim_record(m_settings.claim)));
}

void keyed_call::onAppendFinished(const keyed_call_events::append_finished& event)
{
    m_isLogDown = event.outcome != append_outcome::Appended;
    const bool isClaim = event.recordId == m_settings.claimId;
    if (isClaim && event.outcome != append_outcome::Failed)
        m_mayClaimBeInLog = true;
    if (event.recordId != m_recordId)
        return;
    m_isAppendPending = false;
    m_retryAt = m_now + retryPeriod;
    if (m_phase == phase::Recording && event.outcome == append_outcome::Appended)
        return finish();
    advance();
}

void keyed_call::onUpstreamAnswered(const recorded_answer& upstreamAnswer)
{
    if (m_phase != phase::Running)
        return;
    answer(result_code::Ok, upstreamAnswer);
    recordFinish(result_code::Ok, upstreamAnswer);
}

void keyed_call::onUpstreamNotRun(result_code code)
{
    if (m_phase != phase::Running)
        return;
    refuse(code);
}

void keyed_call::onUpstreamUnknown(result_code code)
{
    if (m_phase != phase::Running)
        return;
    answer(code, {});
    recordFinish(result_code::OutcomeUnknown, {});
}

void keyed_call::onCallerGone()
{
    m_isAnswered = true;
    if (m_phase == phase::Idle || m_phase == phase::Claiming)
        recordWithdrawal();
}

void keyed_call::advance()
{
    if (m_phase == phase::Claiming)
        return advanceClaim();
    if (m_phase != phase::Recording)
        return;
    if (m_now >= m_recordUntil)
        return finish();
    if (!m_isAppendPending && m_now >= m_retryAt)
        append(m_recordId, m_recordData);
}

void keyed_call::advanceClaim()
{
    const duration wait = (m_settings.deadline - m_startedAt) / 2;
    if (m_now >= m_startedAt + wait)
        return abandonClaim();
    if (const std::optional<claim_refusal> refusal = m_table.refusal(m_settings.claim, m_settings.claimId))
        return refuse(refusal->code, refusal->answer);
    const claim_state state = m_table.state(m_settings.claimId);
    if (state == claim_state::Won)
        return run();
    if (state != claim_state::Unseen)
        return refuse(result_code::KeyInUse);
    if (m_isLogDown && m_settings.logOutage == log_outage::RunOnce && m_now >= m_startedAt + outageWait)
        return run();
    if (!m_isAppendPending && m_isLogDown && m_now >= m_retryAt)
        append(m_settings.claimId, m_recordData);
}

void keyed_call::abandonClaim()
{
    if (m_isLogDown && m_settings.logOutage == log_outage::RunOnce && m_now < m_settings.deadline)
        return run();
    refuse(result_code::ClaimUnavailable);
}

void keyed_call::run()
{
    m_phase = phase::Running;
    m_effects.emplace_back(keyed_call_effects::run_upstream {});
}

void keyed_call::refuse(result_code code, const recorded_answer& recorded)
{
    answer(code, recorded);
    recordWithdrawal();
}

void keyed_call::answer(result_code code, const recorded_answer& given)
{
    if (!std::exchange(m_isAnswered, true))
        m_effects.emplace_back(keyed_call_effects::answer_caller { code, given });
}

void keyed_call::recordWithdrawal()
{
    if (!needsWithdrawal() || m_table.state(m_settings.claimId) == claim_state::Withdrawn)
        return finish();
    startRecording("-void", claim_withdrawal { m_settings.claimId });
}

void keyed_call::recordFinish(result_code code, const recorded_answer& outcome)
{
    startRecording("-finish", claim_finish { m_settings.claimId, m_settings.claim, code, outcome });
}

void keyed_call::startRecording(std::string_view suffix, const claim_record& record)
{
    m_phase = phase::Recording;
    m_recordUntil = m_now + recordTimeout;
    append(m_settings.claimId + std::string(suffix), toJson(record));
}

void keyed_call::append(const std::string& recordId, const std::string& data)
{
    m_isAppendPending = true;
    m_recordId = recordId;
    m_recordData = data;
    m_retryAt = m_now + retryPeriod;
    m_effects.emplace_back(keyed_call_effects::append_record { recordId, data });
}

void keyed_call::finish()
{
    m_phase = phase::Finished;
    m_effects.emplace_back(keyed_call_effects::call_finished {});
}

}
