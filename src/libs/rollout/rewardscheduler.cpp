#include "rewardscheduler.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// First pause after a call without success; each further pause doubles.
    constexpr duration firstPause = std::chrono::milliseconds(50);
    constexpr std::uint32_t maxPauseDoublings = 5;
    /// Limit of open calls to a service before any latency is known.
    constexpr std::uint32_t initialLimit = 4;
    constexpr std::uint32_t minLimit = 1;
    /// Repeated calls get one part in this number of a service while first calls wait.
    constexpr std::uint32_t partsPerRepeatedCall = 5;
    /// Lower bound of the time-out of a reward call.
    constexpr duration minRewardTimeout = std::chrono::milliseconds(200);

    replica_outcome replicaOutcome(reward_end end)
    {
        switch (end) {
        case reward_end::Scored:
        case reward_end::Failed:
        case reward_end::Rejected:
            return replica_outcome::Answered;
        case reward_end::NotRun:
            return replica_outcome::Full;
        case reward_end::Interrupted:
        case reward_end::Unreachable:
            return replica_outcome::Failed;
        }
        return replica_outcome::Failed;
    }

    /// Time-out of a reward call: half of the route's time-out, so that time is left for another replica.
    duration rewardTimeout(const route& route)
    {
        return std::max(minRewardTimeout, route.timeout / 2);
    }

}

std::string_view toString(reward_end end)
{
    switch (end) {
    case reward_end::Scored:
        return "scored";
    case reward_end::Failed:
        return "failed";
    case reward_end::Rejected:
        return "rejected";
    case reward_end::NotRun:
        return "not_run";
    case reward_end::Interrupted:
        return "broken";
    case reward_end::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

reward_scheduler::reward_scheduler(const batch_ledger& ledger, replica_pool& pool, const route_table& routes, contents_cache& contents)
    : m_ledger(ledger)
    , m_pool(pool)
    , m_routes(routes)
    , m_contents(contents)
{
}

void reward_scheduler::add(const item_key& key, instant now)
{
    m_pending.try_emplace(key, pending_reward { now, now, 0, 0, {}, 0 });
}

void reward_scheduler::remove(const item_key& key, std::string_view reason, instant now)
{
    const pending_map::iterator found = m_pending.find(key);
    if (found == m_pending.end())
        return;
    const reward_number call = found->second.call;
    m_pending.erase(found);
    if (call == 0)
        return;
    ++m_counters.cancelled;
    m_effects.emplace_back(cancel_reward { call, std::string(reason) });
    close(call, replica_outcome::Cancelled, now);
}

std::vector<item_key> reward_scheduler::waitingSince(instant limit) const
{
    std::vector<item_key> keys;
    for (const std::pair<const item_key, pending_reward>& item : m_pending) {
        if (item.second.since < limit)
            keys.push_back(item.first);
    }
    return keys;
}

const reward_call& reward_scheduler::callOf(const item_key& key) const
{
    return *m_ledger.find(key.batch)->submission.items[key.item].reward;
}

bool reward_scheduler::hasBody(const item_key& key)
{
    const ledger_batch& batch = *m_ledger.find(key.batch);
    return !batch.hasStoredContents() || m_contents.need(key, batch.items[key.item].contents.bytes, contents_use::Reward);
}

shared_text reward_scheduler::bodyOf(const item_key& key) const
{
    const item_contents* const stored = m_contents.find(key);
    return stored ? stored->rewardBody : shared_text(callOf(key).body);
}

const route* reward_scheduler::routeOf(const item_key& key) const
{
    const reward_call& call = callOf(key);
    return m_routes.find(call.host, call.path);
}

reward_scheduler::service_load& reward_scheduler::loadOf(const std::string& service)
{
    const adaptive_limit_settings settings { initialLimit, minLimit, UINT16_MAX };
    return m_loads.try_emplace(service, service_load { adaptive_limit(settings), 0 }).first->second;
}

/// Number of slots of \a service that the rewards of one model may use.
std::uint32_t reward_scheduler::slotsPerModel(std::string_view service) const
{
    std::uint32_t slots = 0;
    for (const std::pair<const std::string, replica_pool::replica>& item : m_pool.replicas()) {
        const replica_entry& entry = item.second.entry;
        slots += entry.service == service && !item.second.isLeaving() ? entry.slots : 0;
    }
    const std::uint32_t parts = static_cast<std::uint32_t>(m_routes.models().size()) + 1;
    return std::max(1U, slots / parts);
}

void reward_scheduler::dropUnneeded(instant now)
{
    std::vector<item_key> unneeded;
    for (const std::pair<const item_key, pending_reward>& item : m_pending) {
        const ledger_batch* const batch = m_ledger.find(item.first.batch);
        if (!batch || batch->isEnded || batch->items[item.first.item].position)
            unneeded.push_back(item.first);
    }
    for (const item_key& key : unneeded)
        remove(key, "not needed", now);
}

/// Rewards that may be requested now: first those of batches whose trainer still waits. Of those the repeated calls, the
/// least repeated ones first, then the oldest batch, then the groups with the fewest items left.
std::vector<reward_scheduler::pending_map::iterator> reward_scheduler::readyInOrder(instant now)
{
    struct ready_reward {
        bool isSatisfied = false;
        bool isFirstCall = false;
        std::uint32_t pauses = 0;
        instant learnedAt {};
        std::size_t openItems = 0;
        instant since {};
        pending_map::iterator pending;

        bool operator<(const ready_reward& other) const
        {
            return std::tie(isSatisfied, isFirstCall, pauses, learnedAt, openItems, since)
                < std::tie(other.isSatisfied, other.isFirstCall, other.pauses, other.learnedAt, other.openItems, other.since);
        }
    };
    std::vector<ready_reward> ready;
    for (pending_map::iterator it = m_pending.begin(); it != m_pending.end(); ++it) {
        if (it->second.call != 0 || it->second.notBefore > now)
            continue;
        const ledger_batch& batch = *m_ledger.find(it->first.batch);
        const std::string& group = batch.submission.items[it->first.item].group;
        ready.push_back({ batch.isSatisfied(), !it->second.isRepeated(), it->second.pauses, batch.learnedAt, batch.openItems.find(group)->second, it->second.since, it });
    }
    std::sort(ready.begin(), ready.end());
    std::vector<pending_map::iterator> order;
    order.reserve(ready.size());
    for (const ready_reward& item : ready)
        order.push_back(item.pending);
    return order;
}

void reward_scheduler::schedule(instant now)
{
    dropUnneeded(now);
    if (m_pending.size() == m_calls.size() || !m_routes.allows(configuration_use::ChooseService, now))
        return;
    const std::vector<pending_map::iterator> ready = readyInOrder(now);
    for (const pending_map::iterator& pending : ready)
        send(pending, call_share::Fair, now);
    for (const pending_map::iterator& pending : ready) {
        if (pending->second.isRepeated() && pending->second.call == 0)
            send(pending, call_share::Rest, now);
    }
}

/// Whether a call may be sent to a service.
bool reward_scheduler::hasRoom(const service_load& load, std::uint32_t slots, bool isRepeated, call_share share, instant now)
{
    const std::uint32_t limit = std::min(load.limit.limit(), slots);
    if (load.inFlight >= limit)
        return false;
    if (!isRepeated || share == call_share::Rest)
        return true;
    const std::uint32_t repeatedLimit = limit / partsPerRepeatedCall;
    return repeatedLimit > 0 ? load.repeated < repeatedLimit : load.repeated == 0 && now >= load.firstCallsUntil;
}

void reward_scheduler::send(pending_map::iterator pending, call_share share, instant now)
{
    if (!m_ledger.mayBeginWork(*m_ledger.find(pending->first.batch), now))
        return;
    const route* const route = routeOf(pending->first);
    const route_target* const target = route ? chooseTarget(*route, std::hash<std::string> {}(callOf(pending->first).id)) : nullptr;
    // Without a route the reward waits, since a later configuration may restore the route.
    if (!target)
        return;
    service_load& load = loadOf(target->service);
    const bool isRepeated = pending->second.isRepeated();
    if (!hasRoom(load, slotsPerModel(target->service), isRepeated, share, now) || !hasBody(pending->first))
        return;
    replica_criteria criteria { target->service, {} };
    criteria.usesPermits = true;
    const replica_pool::replica* const replica = m_pool.pickOrWantPermit(criteria, pending->second.excluded, now);
    if (!replica)
        return;
    const reward_number call = ++m_lastCall;
    pending->second.call = call;
    ++load.inFlight;
    load.repeated += isRepeated ? 1 : 0;
    ++m_counters.sent;
    m_calls.emplace(call, open_call { pending->first, target->service, replica->entry.id, now, load.inFlight, isRepeated });
    m_effects.emplace_back(start_reward { call, pending->first, replica->entry.id, replica->entry.address, rewardTimeout(*route), bodyOf(pending->first) });
    m_pool.started(replica->entry.id, true);
}

void reward_scheduler::close(reward_number call, replica_outcome outcome, instant now)
{
    const std::map<reward_number, open_call>::iterator found = m_calls.find(call);
    const open_call& ended = found->second;
    service_load& load = loadOf(ended.service);
    --load.inFlight;
    load.repeated -= ended.isRepeated ? 1 : 0;
    m_pool.finished(ended.replica, outcome, now - ended.sentAt, now);
    m_calls.erase(found);
}

/// Puts the next call of an item off after a call without success, and further repeated calls if this was one.
void reward_scheduler::pause(pending_reward& pending, const open_call& ended, instant now)
{
    if (ended.isRepeated)
        loadOf(ended.service).firstCallsUntil = now + (partsPerRepeatedCall - 1) * (now - ended.sentAt);
    pending.notBefore = now + firstPause * (1U << std::min(pending.pauses, maxPauseDoublings));
    ++pending.pauses;
}

std::optional<reward_outcome> reward_scheduler::onEnd(reward_number call, const reward_answer& answer, instant now)
{
    const std::map<reward_number, open_call>::iterator found = m_calls.find(call);
    if (found == m_calls.end())
        return std::nullopt;
    const open_call ended = found->second;
    service_load& load = loadOf(ended.service);
    close(call, replicaOutcome(answer.end), now);
    const pending_map::iterator pending = m_pending.find(ended.key);
    pending->second.call = 0;
    switch (answer.end) {
    case reward_end::Scored:
        ++m_counters.scored;
        load.limit.addAnswer(now - ended.sentAt, ended.inFlight);
        m_pending.erase(pending);
        return reward_outcome { ended.key, answer.signature };
    case reward_end::Failed: {
        ++m_counters.failed;
        pending->second.excluded.push_back(ended.replica);
        pause(pending->second, ended, now);
        const route* const route = routeOf(ended.key);
        if (!route || ++pending->second.failures < route->maxAttempts)
            return std::nullopt;
        ++m_counters.abandoned;
        m_pending.erase(pending);
        return reward_outcome { ended.key, std::nullopt };
    }
    case reward_end::Rejected:
        ++m_counters.failed;
        pause(pending->second, ended, now);
        return std::nullopt;
    case reward_end::NotRun:
        ++m_counters.notRun;
        load.limit.addFailure(now);
        pending->second.excluded.push_back(ended.replica);
        return std::nullopt;
    case reward_end::Interrupted:
        load.limit.addFailure(now);
        [[fallthrough]];
    case reward_end::Unreachable:
        ++m_counters.interrupted;
        pending->second.excluded.push_back(ended.replica);
        pause(pending->second, ended, now);
        return std::nullopt;
    }
    return std::nullopt;
}

std::vector<reward_effect> reward_scheduler::takeEffects()
{
    return std::exchange(m_effects, {});
}

}
