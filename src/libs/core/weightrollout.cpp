#include "weightrollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortreach {

struct weight_rollout::event_handler {
    weight_rollout& rollout;

    void operator()(const rollout_events::target_version_changed& event) const { rollout.setTargetVersion(event.version); }
    void operator()(const rollout_events::replica_reported& event) const { rollout.applyReport(event); }
    void operator()(const rollout_events::replica_unavailable& event) const { rollout.m_replicas.erase(event.replica); }
    void operator()(const rollout_events::holding_changed& event) const { rollout.setHolding(event); }
    void operator()(const rollout_events::order_answered& event) const { rollout.applyAnswer(event); }
    void operator()(const rollout_events::tick&) const { }
};

weight_rollout::weight_rollout(rollout_settings settings)
    : m_settings(settings)
    , m_loads(settings.loadsPerSecond, settings.loadsPerSecond)
    , m_random(settings.seed)
{
}

std::vector<rollout_effect> weight_rollout::handle(const rollout_event& event, instant now)
{
    m_now = now;
    std::visit(event_handler { *this }, event);
    expireOrders();
    if (m_isHolding && m_targetVersion)
        orderNext();
    return std::exchange(m_effects, {});
}

void weight_rollout::setTargetVersion(const weight_version& version)
{
    if (m_targetVersion == version)
        return;
    if (m_targetVersion)
        m_previousTargets.push_back(*m_targetVersion);
    if (m_previousTargets.size() > maxPreviousTargets)
        m_previousTargets.pop_front();
    m_targetVersion = version;
}

void weight_rollout::applyReport(const rollout_events::replica_reported& event)
{
    if (!m_replicas.contains(event.replica) && m_replicas.size() >= maxReplicas)
        return;
    replica_state& replica = m_replicas[event.replica];
    replica.weights = event.weights;
    replica.isLoading = event.isLoading;
    replica.hasStarted = replica.hasStarted || event.isLoading;
    if (!replica.ordered || event.isLoading)
        return;
    if (event.weights == *replica.ordered)
        return completeOrder(replica);
    if (replica.hasStarted)
        recordFailure(replica);
}

void weight_rollout::applyAnswer(const rollout_events::order_answered& event)
{
    const replica_map::iterator it = m_replicas.find(event.replica);
    switch (event.result) {
    case rollout_events::order_result::Accepted:
        return;
    case rollout_events::order_result::Fenced:
        m_isHolding = false;
        if (it != m_replicas.end())
            it->second.ordered.reset();
        return;
    case rollout_events::order_result::Failed:
        if (it != m_replicas.end() && it->second.ordered)
            recordFailure(it->second);
        return;
    }
}

void weight_rollout::setHolding(const rollout_events::holding_changed& event)
{
    m_isHolding = event.isHolding;
    m_fencing = event.fencing;
}

void weight_rollout::completeOrder(replica_state& replica)
{
    replica.ordered.reset();
    replica.failures = 0;
    replica.retryAt = m_now;
}

void weight_rollout::recordFailure(replica_state& replica)
{
    ++m_failures;
    replica.ordered.reset();
    replica.retryAt = m_now + backoff(replica.failures++);
}

void weight_rollout::expireOrders()
{
    for (replica_map::value_type& value : m_replicas) {
        replica_state& replica = value.second;
        if (replica.ordered && !replica.hasStarted && m_now - replica.orderedAt >= startTimeout)
            recordFailure(replica);
    }
}

void weight_rollout::orderNext()
{
    std::size_t slots = freeSlots();
    for (replica_map::iterator it = m_replicas.begin(); it != m_replicas.end() && slots > 0; ++it) {
        replica_state& replica = it->second;
        if (isBusy(replica) || replica.weights == *m_targetVersion || m_now < replica.retryAt)
            continue;
        if (!m_loads.take(m_now))
            return;
        replica.ordered = m_targetVersion;
        replica.hasStarted = false;
        replica.orderedAt = m_now;
        --slots;
        m_effects.emplace_back(weight_load_order { it->first, *m_targetVersion, m_fencing });
    }
}

std::size_t weight_rollout::freeSlots() const
{
    const double count = static_cast<double>(m_replicas.size());
    const std::size_t kept = static_cast<std::size_t>(std::ceil(count * m_settings.servingShare));
    const std::size_t allowed = std::max<std::size_t>(1, m_replicas.size() - std::min(kept, m_replicas.size()));
    const std::size_t busy = std::count_if(m_replicas.begin(), m_replicas.end(),
        [this](const replica_map::value_type& value) { return isBusy(value.second); });
    return allowed - std::min(allowed, busy);
}

duration weight_rollout::backoff(std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 5;
    constexpr std::uint64_t multiplier = 6364136223846793005U;
    constexpr std::uint64_t increment = 1442695040888963407U;
    constexpr int unusedBits = 33;
    m_random = m_random * multiplier + increment;
    const duration fullDelay = std::min(maxBackoff, firstBackoff * (1U << std::min(failures, maxDoublings)));
    return fullDelay / 2 + duration(static_cast<duration::rep>(m_random >> unusedBits) % (fullDelay.count() / 2));
}

bool weight_rollout::isEligible(std::string_view name) const
{
    const replica_map::const_iterator it = m_replicas.find(name);
    if (it == m_replicas.end() || !m_targetVersion || isBusy(it->second))
        return false;
    const replica_state& replica = it->second;
    if (replica.weights == *m_targetVersion)
        return true;
    return replica.failures == 0 && std::find(m_previousTargets.begin(), m_previousTargets.end(), replica.weights) != m_previousTargets.end();
}

bool weight_rollout::isServing(std::string_view name) const
{
    const replica_map::const_iterator it = m_replicas.find(name);
    return it != m_replicas.end() && !it->second.isLoading;
}

std::size_t weight_rollout::serving() const
{
    return std::count_if(m_replicas.begin(), m_replicas.end(),
        [](const replica_map::value_type& value) { return !value.second.isLoading; });
}

std::size_t weight_rollout::finished() const
{
    return std::count_if(m_replicas.begin(), m_replicas.end(),
        [this](const replica_map::value_type& value) { return value.second.weights == m_targetVersion && !value.second.isLoading; });
}

}
