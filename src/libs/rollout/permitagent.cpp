#include "permitagent.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Time after which a message to a keeper is repeated, and after the repetition another keeper is asked.
    constexpr duration answerTimeout = std::chrono::milliseconds(60);
    constexpr std::uint32_t maxRepeats = 1;
    /// Time for which another daemon stands in for a keeper that did not answer.
    constexpr duration silenceTime = std::chrono::seconds(2);
    /// Keepers that are asked in turn for one replica.
    constexpr std::size_t maxKeepers = 3;
    /// Share of the limit that a stand-in gives out. The keeper may be alive for others and give out the whole limit.
    constexpr double standInShare = 0.5;
    constexpr duration idleTime = std::chrono::seconds(10);
    constexpr duration waitWithoutKeeper = std::chrono::milliseconds(200);

}

permit_agent::permit_agent(std::string vm, limit_table& limits)
    : m_vm(std::move(vm))
    , m_limits(limits)
{
}

void permit_agent::setDaemons(const owner_map& daemons, sight_lookup sightOf)
{
    m_daemons = daemons;
    m_sightOf = std::move(sightOf);
}

permit_number permit_agent::ask(std::vector<replica_instance> replicas, duration maxWait, instant now)
{
    const permit_number number = ++m_lastNumber;
    open_ask& added = m_asks[number];
    added.replicas = std::move(replicas);
    added.askedAt = now;
    added.maxWait = maxWait;
    askNext(number, now);
    return number;
}

duration permit_agent::knownWait(const replica_instance& replica, instant now) const
{
    const std::map<replica_instance, instant>::const_iterator found = m_nextTurns.find(replica);
    return found == m_nextTurns.end() ? duration::zero() : std::max(found->second - now, duration::zero());
}

/// Asks for the replica whose next turn is the earliest as far as it is known, or denies the permit.
void permit_agent::askNext(permit_number number, instant now)
{
    open_ask& ask = m_asks[number];
    duration shortest = ask.replicas.empty() ? waitWithoutKeeper : duration::max();
    while (!ask.replicas.empty()) {
        const std::vector<replica_instance>::iterator next = std::min_element(ask.replicas.begin(), ask.replicas.end(),
            [this, now](const replica_instance& left, const replica_instance& right) { return knownWait(left, now) < knownWait(right, now); });
        shortest = std::min(shortest, knownWait(*next, now));
        const duration waitLeft = ask.maxWait - (now - ask.askedAt);
        if (knownWait(*next, now) > std::max(waitLeft, duration::zero()))
            break;
        const replica_instance replica = *next;
        ask.replicas.erase(next);
        if (askReplica(number, ask, replica, now))
            return;
        shortest = std::max(knownWait(replica, now), answerTimeout);
    }
    ++m_counters.denied;
    m_effects.emplace_back(permit_denied { number, shortest });
    m_asks.erase(number);
}

/// Asks the keeper of \a replica; false when the answer is known at once and negative.
bool permit_agent::askReplica(permit_number number, open_ask& ask, const replica_instance& replica, instant now)
{
    ask.replica = replica;
    ask.isStandIn = false;
    ask.keeper.clear();
    for (const std::string& vm : m_daemons.candidates(replica.id, m_sightOf(replica).dataCentre, maxKeepers)) {
        const auto silent = m_silentKeepers.find(vm);
        if (silent != m_silentKeepers.end() && silent->second > now) {
            ask.isStandIn = true;
            continue;
        }
        ask.keeper = vm;
        break;
    }
    const bool isOwn = ask.keeper.empty() || ask.keeper == m_vm;
    if (!isOwn) {
        ask.repeats = 0;
        ask.message = ++m_lastMessage;
        m_messages.emplace(ask.message, number);
        send(ask, now);
        return true;
    }
    const duration waitLeft = std::max(ask.maxWait - (now - ask.askedAt), duration::zero());
    const permit_keeper::decision decision = decideAsKeeper(replica, waitLeft, ask.isStandIn, now);
    if (decision.isGranted) {
        conclude(number, decision, now);
        return true;
    }
    m_nextTurns[replica] = now + decision.wait;
    return false;
}

void permit_agent::send(open_ask& ask, instant now)
{
    ask.sentAt = now;
    const duration waitLeft = std::max(ask.maxWait - (now - ask.askedAt), duration::zero());
    const replica_limit limit = m_limits.find(ask.replica).value_or(replica_limit { ask.replica, std::nullopt, ask.askedAt });
    m_effects.emplace_back(send_permit_message { ask.keeper, permit_ask { ask.message, limit, waitLeft, ask.isStandIn } });
}

/// Decision for a replica that this daemon keeps.
permit_keeper::decision permit_agent::decideAsKeeper(const replica_instance& replica, duration maxWait, bool isStandIn, instant now)
{
    const std::optional<double> rate = m_limits.rate(replica, now);
    if (!rate)
        return { true, {} };
    const double share = m_sightOf(replica).visibleShare * (isStandIn ? standInShare : 1);
    const permit_keeper::decision decision = m_keeper.decide(replica, *rate * share, maxWait, now);
    m_counters.given += decision.isGranted ? 1 : 0;
    return decision;
}

void permit_agent::conclude(permit_number number, const permit_keeper::decision& decision, instant now)
{
    const std::map<permit_number, open_ask>::iterator found = m_asks.find(number);
    if (!decision.isGranted) {
        m_nextTurns[found->second.replica] = now + decision.wait;
        askNext(number, now);
        return;
    }
    ++m_counters.granted;
    m_nextTurns.erase(found->second.replica);
    m_effects.emplace_back(permit_granted { number, found->second.replica.id, decision.wait });
    m_asks.erase(found);
}

void permit_agent::onMessage(std::string_view fromVm, const permit_message& message, instant now)
{
    if (const permit_ask* const asked = std::get_if<permit_ask>(&message))
        onAsk(fromVm, *asked, now);
    else
        onReply(std::get<permit_reply>(message), now);
}

void permit_agent::onAsk(std::string_view fromVm, const permit_ask& message, instant now)
{
    m_limits.merge(message.limit, now);
    const permit_keeper::decision decision = decideAsKeeper(message.limit.replica, message.maxWait, message.isStandIn, now);
    m_effects.emplace_back(send_permit_message { std::string(fromVm), permit_reply { message.number, decision.isGranted, decision.wait } });
}

void permit_agent::onReply(const permit_reply& message, instant now)
{
    const std::map<std::uint64_t, permit_number>::iterator sent = m_messages.find(message.number);
    if (sent == m_messages.end())
        return;
    const permit_number number = sent->second;
    m_messages.erase(sent);
    const std::map<permit_number, open_ask>::iterator found = m_asks.find(number);
    if (found == m_asks.end())
        return;
    m_silentKeepers.erase(found->second.keeper);
    conclude(number, { message.isGranted, message.wait }, now);
}

void permit_agent::tick(instant now)
{
    std::vector<permit_number> overdue;
    for (const std::pair<const std::uint64_t, permit_number>& sent : m_messages) {
        const std::map<permit_number, open_ask>::const_iterator found = m_asks.find(sent.second);
        if (found != m_asks.end() && now - found->second.sentAt >= answerTimeout)
            overdue.push_back(sent.second);
    }
    for (const permit_number number : overdue) {
        open_ask& ask = m_asks[number];
        ++m_counters.unanswered;
        if (ask.repeats++ < maxRepeats) {
            send(ask, now);
            continue;
        }
        m_messages.erase(ask.message);
        m_silentKeepers[ask.keeper] = now + silenceTime;
        ask.replicas.push_back(ask.replica);
        askNext(number, now);
    }
    std::erase_if(m_messages, [this](const std::pair<const std::uint64_t, permit_number>& sent) { return !m_asks.contains(sent.second); });
    std::erase_if(m_nextTurns, [now](const std::pair<const replica_instance, instant>& item) { return item.second < now; });
    std::erase_if(m_silentKeepers, [now](const std::pair<const std::string, instant>& item) { return item.second < now; });
    m_keeper.forgetBefore(now - idleTime);
}

std::vector<permit_effect> permit_agent::takeEffects()
{
    return std::exchange(m_effects, {});
}

}
