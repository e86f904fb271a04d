#include "dutycaller.h"

#include "bootclock.h"

#include <support/log.h>
#include <support/logline.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Time-out of a call where the platform compares fencing tokens, so that late calls do no harm.
    constexpr duration fencedTimeout = std::chrono::seconds(2);
    constexpr std::size_t maxAnswerBytes = std::size_t { 64 } * 1024;

}

duty_caller::duty_caller(http_client& client, lease_agent& leases, std::string vm, log& log)
    : m_client(client)
    , m_leases(leases)
    , m_vm(std::move(vm))
    , m_log(log)
{
}

bool duty_caller::mayCall(const duty_subject& subject) const
{
    const instant now = bootNow();
    if (!m_leases.mayAct(subject.lease, now + lease_agent::maxOrderTransitTime))
        return false;
    const auto refused = m_refusedTokens.find(subject.name);
    if (refused != m_refusedTokens.end() && refused->second == m_leases.fencingToken(subject.lease))
        return false;
    const std::vector<std::string> barred = m_leases.barredReplicas(subject.lease, now);
    return std::find(barred.begin(), barred.end(), subject.name) == barred.end();
}

void duty_caller::call(const duty_subject& subject, const request_factory& makeRequest, outcome_handler onDone)
{
    ++m_counters.sent;
    // A successor after a release waits only for the subjects of the last calls.
    m_leases.noteOrder(subject.name, bootNow());
    http_call_options options;
    options.timeout = m_options.isFencingEnforced ? fencedTimeout : lease_agent::maxOrderTransitTime;
    options.bodyLimit = maxAnswerBytes;
    const platform::duty_authority authority { m_vm, m_leases.fencingToken(subject.lease) };
    m_lastTokens[subject.name] = authority.fencingToken;
    m_client.callBuffered(m_options.address, makeRequest(authority), options,
        [this, whenDone = std::move(onDone)](const http_outcome& outcome, const http_response& response) { whenDone(count(outcome, response)); });
}

platform::duty_outcome duty_caller::count(const http_outcome& outcome, const http_response& response)
{
    const platform::duty_outcome result = outcome.code == result_code::Ok ? platform::decodeDutyOutcome(response.status) : platform::duty_outcome::Unknown;
    switch (result) {
    case platform::duty_outcome::Done:
        ++m_counters.done;
        break;
    case platform::duty_outcome::Refused:
        ++m_counters.refused;
        break;
    case platform::duty_outcome::TooMany:
        ++m_counters.tooMany;
        break;
    case platform::duty_outcome::Unknown:
        ++m_counters.unanswered;
        break;
    }
    return result;
}

void duty_caller::giveUpToken(const duty_subject& subject)
{
    const std::uint64_t token = m_lastTokens[subject.name];
    m_refusedTokens[subject.name] = token;
    m_log.write(log_line(log_level::Warning, "duty_fenced").with("subject", subject.name).with("fencing", token));
}

}
