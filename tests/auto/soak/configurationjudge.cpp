#include "configurationjudge.h"

#include <algorithm>

namespace ragwortreach::Tests {

namespace {

    constexpr int firstClientErrorStatus = 400;
    constexpr int firstServerErrorStatus = 500;

    std::string toMilliseconds(duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
    }

    /// Whether \a noted and the time after it, \a contact, are over at \a at.
    bool isOver(const disturbance& noted, duration contact, instant at)
    {
        return noted.until != instant::max() && at > noted.until + contact;
    }

    std::string describe(const judged_call& call)
    {
        return "call " + call.id + " at daemon " + std::to_string(call.daemon);
    }

}

configuration_judge::configuration_judge(configuration_bounds bounds)
    : m_bounds(bounds)
{
}

std::size_t configuration_judge::noteDisturbance(disturbance noted)
{
    m_disturbances.push_back(noted);
    return m_disturbances.size() - 1;
}

bool configuration_judge::isDisturbed(std::size_t daemon, disturbance_kind kind, instant at) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [this, daemon, kind, at](const disturbance& noted) {
        return noted.daemon == daemon && noted.kind == kind && noted.from <= at && !isOver(noted, m_bounds.contact, at);
    });
}

bool configuration_judge::isStoreDisturbed(instant from, instant until) const
{
    return std::any_of(m_disturbances.begin(), m_disturbances.end(), [this, from, until](const disturbance& noted) {
        return noted.kind != disturbance_kind::Process && noted.from <= until && !isOver(noted, m_bounds.contact, from);
    });
}

duration configuration_judge::delayOf(const judged_call& call) const
{
    const auto next = m_changes.upper_bound(*call.version);
    return next == m_changes.end() ? duration::zero() : std::max(call.sentAt - next->second, duration::zero());
}

bool configuration_judge::isJudged(const judged_call& call) const
{
    return !isDisturbed(call.daemon, disturbance_kind::Process, call.sentAt) && !isDisturbed(call.daemon, disturbance_kind::Unanswered, call.sentAt);
}

duration configuration_judge::boundFor(const judged_call& call) const
{
    const instant acknowledgedAt = call.sentAt - delayOf(call);
    return isStoreDisturbed(acknowledgedAt, call.sentAt) ? m_bounds.apply + m_bounds.disturbed : m_bounds.apply;
}

std::vector<std::string> configuration_judge::brokenRules(const std::vector<judged_call>& calls) const
{
    std::vector<std::string> broken;
    /// By daemon: newest version that a call went by, and when that call was answered.
    std::map<std::size_t, std::pair<std::uint64_t, instant>> newest;
    for (const judged_call& call : calls) {
        if (!isJudged(call)) {
            newest.erase(call.daemon);
            continue;
        }
        if (call.status >= firstClientErrorStatus && call.status < firstServerErrorStatus)
            broken.push_back(describe(call) + " was answered " + std::to_string(call.status) + ", though each configuration has its route");
        if (!call.version)
            continue;
        if (delayOf(call) > boundFor(call))
            broken.push_back(describe(call) + " went by version " + std::to_string(*call.version) + ", " + toMilliseconds(delayOf(call)) + " after a newer one was acknowledged; " + toMilliseconds(boundFor(call)) + " are allowed");
        const auto known = newest.find(call.daemon);
        if (known != newest.end() && *call.version < known->second.first && call.sentAt - known->second.second > m_bounds.revert)
            broken.push_back(describe(call) + " went by version " + std::to_string(*call.version) + " after one that went by " + std::to_string(known->second.first));
        if (known == newest.end() || *call.version > known->second.first)
            newest[call.daemon] = { *call.version, call.answeredAt };
    }
    return broken;
}

std::string_view configuration_judge::stateOf(const judged_call& call) const
{
    if (isDisturbed(call.daemon, disturbance_kind::Process, call.sentAt))
        return "stopped, killed or started";
    if (isDisturbed(call.daemon, disturbance_kind::Unanswered, call.sentAt))
        return "without answers of the store";
    if (isDisturbed(call.daemon, disturbance_kind::Refused, call.sentAt))
        return "refused by the store";
    if (isDisturbed(call.daemon, disturbance_kind::Slow, call.sentAt))
        return "answered late by the store";
    return "calm";
}

std::map<std::string, duration> configuration_judge::greatestDelays(const std::vector<judged_call>& calls) const
{
    std::map<std::string, duration> greatest;
    for (const judged_call& call : calls) {
        if (!call.version)
            continue;
        duration& delay = greatest[std::string(stateOf(call))];
        delay = std::max(delay, delayOf(call));
    }
    return greatest;
}

}
