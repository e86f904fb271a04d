#include "holderlease.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

struct holder_lease::event_handler {
    holder_lease& lease;

    void operator()(const lease_events::members_changed& event) const { lease.m_members = event; }
    void operator()(const lease_events::leaving&) const { lease.m_isLeaving = true; }
    void operator()(const lease_events::tick&) const { }
};

holder_lease::holder_lease(const holder_table& table, lease_settings settings)
    : m_table(table)
    , m_settings(std::move(settings))
{
}

std::vector<lease_effect> holder_lease::handle(const lease_event& event, instant now)
{
    m_now = now;
    std::visit(event_handler { *this }, event);
    applyRecords();
    appendIfDue();
    reportChange();
    return std::exchange(m_effects, {});
}

bool holder_lease::maySendOrders(instant now) const
{
    return !m_isLeaving && m_seen && m_seen->holder == m_settings.self && now < m_deadline;
}

void holder_lease::applyRecords()
{
    const holder_state* state = m_table.holder(m_settings.dataCentre, m_settings.model);
    if (state == nullptr || (m_seen && *m_seen == *state))
        return;
    m_seen = *state;
    m_seenAt = m_now;
    if (state->holder == m_settings.self)
        applyOwnRecord(*state);
}

void holder_lease::applyOwnRecord(const holder_state& state)
{
    const std::deque<sent_record>::iterator it = std::find_if(m_sent.begin(), m_sent.end(),
        [&state](const sent_record& sent) { return sent.id == state.recordId; });
    if (it == m_sent.end())
        return;
    m_fencing = state.fencing;
    m_deadline = std::max(m_deadline, it->sentAt + leaseDuration);
    m_appendAt = it->sentAt + renewPeriod;
    m_sent.erase(it);
}

bool holder_lease::mayReplaceHolder() const
{
    if (!m_seen || m_seen->holder == m_settings.self)
        return true;
    const bool isEligible = std::find(m_members.eligible.begin(), m_members.eligible.end(), m_seen->holder) != m_members.eligible.end();
    return !isEligible || m_now - m_seenAt >= holderTimeout;
}

void holder_lease::appendIfDue()
{
    if (m_isLeaving || m_now < m_appendAt || !mayReplaceHolder())
        return;
    const bool isRenewal = maySendOrders(m_now);
    if (isRenewal || m_members.isFirst)
        append();
}

void holder_lease::append()
{
    m_appendAt = m_now + retryPeriod;
    const std::string recordId = m_settings.recordPrefix + std::to_string(m_recordNumber++);
    m_sent.push_back({ recordId, m_now });
    if (m_sent.size() > maxSentRecords)
        m_sent.pop_front();
    m_effects.emplace_back(lease_effects::append_record { recordId, toJson(holder_record { m_settings.dataCentre, m_settings.model, m_settings.self }) });
}

void holder_lease::reportChange()
{
    const bool isHolding = maySendOrders(m_now);
    if (isHolding == m_wasHolding && m_fencing == m_reportedFencing)
        return;
    m_wasHolding = isHolding;
    m_reportedFencing = m_fencing;
    m_effects.emplace_back(lease_effects::holding_changed { isHolding, m_fencing });
}

}
