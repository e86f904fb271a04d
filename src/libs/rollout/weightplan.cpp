#include "weightplan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ragwortreach {

namespace {

    /// Expected time of a load before any was observed.
    constexpr duration initialLoadTime = std::chrono::milliseconds(900);
    constexpr duration minLoadTime = std::chrono::milliseconds(100);
    /// Weight of the newest load in the moving average.
    constexpr double loadTimeGain = 0.3;
    /// Factor for the expected time when a load had ended by then, since it may have ended earlier.
    constexpr double loadTimeDecay = 0.97;
    /// A load that takes longer no longer counts as in progress, so that a replica that never ends one blocks no other.
    constexpr duration maxLoadTime = std::chrono::seconds(20);
    /// Delay before a load that takes longer than expected is checked again.
    constexpr duration checkInterval = std::chrono::milliseconds(100);
    /// An order without an answer may still be carried out during this time.
    constexpr duration unknownOrderTime = std::chrono::milliseconds(2500);
    /// Delay before the next order to a replica that refused one.
    constexpr duration conflictPause = std::chrono::milliseconds(100);
    /// Delay before the next order to a replica that gave no report, so that others load meanwhile.
    constexpr duration unreachablePause = std::chrono::milliseconds(1000);

    std::uint64_t versionOf(const replica_pool::replica& replica, std::string_view model)
    {
        const auto found = replica.entry.weights.find(model);
        return found == replica.entry.weights.end() ? 0 : found->second;
    }

}

weight_plan::weight_plan(double loadShare)
    : m_loadShare(loadShare)
    , m_loadTime(initialLoadTime)
{
}

void weight_plan::clear()
{
    m_loads.clear();
    m_pausedUntil.clear();
}

void weight_plan::setTarget(std::string_view model, std::uint64_t version, instant now)
{
    target_version& target = m_targets[std::string(model)];
    if (version <= target.version)
        return;
    target.version = version;
    target.namedAt = now;
}

void weight_plan::setOldestAllowed(std::string_view model, std::uint64_t version)
{
    target_version& target = m_targets[std::string(model)];
    target.allowedLag = target.version > version ? target.version - version : 0;
}

std::uint64_t weight_plan::target(std::string_view model) const
{
    const auto found = m_targets.find(model);
    return found == m_targets.end() ? 0 : found->second.version;
}

std::vector<weight_order> weight_plan::plan(const replica_pool& pool, const route_table& routes, std::span<const std::string> barred, instant now)
{
    forgetFinishedLoads(pool, now);
    std::vector<weight_order> orders;
    checkLoads(pool, routes, barred, orders, now);
    for (const service_definition& service : routes.configuration().services) {
        if (!service.engine)
            continue;
        std::vector<pending_order> pending;
        for (const std::pair<const std::string, replica_list>& part : assignReplicas(pool, service, now))
            addPendingOrders(pending, part.first, part.second, modeFor(part.first, routes), now);
        std::erase_if(pending, [barred](const pending_order& item) {
            return std::find(barred.begin(), barred.end(), item.order.replica) != barred.end();
        });
        std::stable_sort(pending.begin(), pending.end(), [](const pending_order& left, const pending_order& right) {
            return std::make_tuple(!left.isUrgent, left.namedAt) < std::make_tuple(!right.isUrgent, right.namedAt);
        });
        startLoads(pending, roomForLoads(pool, service), orders, now);
    }
    return orders;
}

/// Adds an order for each load whose end is expected by now. The load counts as in progress until a report shows its end.
void weight_plan::checkLoads(const replica_pool& pool, const route_table& routes, std::span<const std::string> barred, std::vector<weight_order>& orders, instant now)
{
    for (std::pair<const std::string, load>& item : m_loads) {
        load& checked = item.second;
        if (checked.until > now || std::find(barred.begin(), barred.end(), item.first) != barred.end())
            continue;
        checked.until = now + unknownOrderTime;
        orders.push_back({ item.first, pool.find(item.first)->entry.address, checked.model, checked.version, modeFor(checked.model, routes) });
    }
}

load_mode weight_plan::modeFor(std::string_view model, const route_table& routes) const
{
    return isSingleVersion(model, routes) ? load_mode::Wait : load_mode::Retain;
}

/// Moves the first \a room orders of \a pending to \a orders and notes their loads.
void weight_plan::startLoads(std::vector<pending_order>& pending, std::size_t room, std::vector<weight_order>& orders, instant now)
{
    for (pending_order& item : std::span(pending).first(std::min(room, pending.size()))) {
        m_loads[item.order.replica] = { item.order.model, item.order.version, now + unknownOrderTime, std::nullopt, false };
        orders.push_back(std::move(item.order));
    }
}

/// Number of replicas of \a service that may start to load now.
std::size_t weight_plan::roomForLoads(const replica_pool& pool, const service_definition& service)
{
    std::size_t replicas = 0;
    std::size_t loading = 0;
    for (const std::pair<const std::string, replica_pool::replica>& item : pool.replicas()) {
        if (item.second.entry.service != service.name)
            continue;
        ++replicas;
        loading += m_loads.contains(item.first) ? 1U : 0U;
    }
    std::size_t& most = m_mostReplicas[service.name];
    most = std::max(most, replicas);
    const std::size_t limit = std::max(minLoadLimit, static_cast<std::size_t>(std::lround(m_loadShare * static_cast<double>(most))));
    return limit - std::min(limit, loading);
}

/// Adds orders for the replicas whose version is too old to serve, and for others until half of \a share has the newest
/// version.
void weight_plan::addPendingOrders(std::vector<pending_order>& pending, std::string_view model, const replica_list& share, load_mode mode, instant now) const
{
    const auto wanted = m_targets.find(model);
    if (wanted == m_targets.end())
        return;
    const target_version& target = wanted->second;
    std::size_t newest = 0;
    std::vector<const replica_pool::replica*> behind;
    for (const replica_pool::replica* replica : share) {
        const bool isLoading = m_loads.contains(replica->entry.id);
        if (versionOf(*replica, model) >= target.version || isLoading)
            ++newest;
        else if (!isPaused(replica->entry.id, now))
            behind.push_back(replica);
    }
    // \a share has the replicas without a limit first.
    std::stable_sort(behind.begin(), behind.end(), [model](const replica_pool::replica* left, const replica_pool::replica* right) {
        return versionOf(*left, model) < versionOf(*right, model);
    });
    const std::size_t half = (share.size() + 1) / 2;
    for (const replica_pool::replica* replica : behind) {
        const bool isUrgent = versionOf(*replica, model) + target.allowedLag < target.version;
        if (!isUrgent && newest >= half)
            continue;
        ++newest;
        const weight_order order { replica->entry.id, replica->entry.address, std::string(model), target.version, mode };
        pending.push_back({ target.namedAt, isUrgent, order });
    }
}

void weight_plan::onOutcome(const weight_order& order, order_outcome outcome, instant now)
{
    const auto found = m_loads.find(order.replica);
    if (found == m_loads.end())
        return;
    switch (outcome) {
    case order_outcome::Accepted:
        found->second.acceptedAt = now;
        found->second.isLate = false;
        found->second.until = now + m_loadTime;
        return;
    case order_outcome::Loaded:
        learnLoadTime(found->second, now);
        m_loads.erase(found);
        return;
    case order_outcome::Unknown:
        found->second.until = now + unknownOrderTime;
        return;
    case order_outcome::Busy:
        if (!found->second.acceptedAt || now - *found->second.acceptedAt > maxLoadTime) {
            passOver(order.replica, now + unreachablePause);
            return;
        }
        found->second.isLate = true;
        found->second.until = now + checkInterval;
        return;
    case order_outcome::Unreachable:
        passOver(order.replica, now + unreachablePause);
        return;
    case order_outcome::Conflict:
    case order_outcome::Rejected:
        passOver(order.replica, now + conflictPause);
        return;
    }
}

/// Gives the place of \a replica among the loads to another one; \a replica gets no order until \a until.
void weight_plan::passOver(const std::string& replica, instant until)
{
    m_pausedUntil[replica] = until;
    m_loads.erase(replica);
}

/// Notes the end of a load that was accepted by this process.
void weight_plan::learnLoadTime(const load& ended, instant now)
{
    if (!ended.acceptedAt)
        return;
    if (!ended.isLate) {
        m_loadTime = std::max(minLoadTime, std::chrono::duration_cast<duration>(m_loadTime * loadTimeDecay));
        return;
    }
    m_loadTime += std::chrono::duration_cast<duration>((now - *ended.acceptedAt - m_loadTime) * loadTimeGain);
}

bool weight_plan::isPaused(std::string_view replica, instant now) const
{
    const auto found = m_pausedUntil.find(replica);
    return found != m_pausedUntil.end() && found->second > now;
}

void weight_plan::forgetFinishedLoads(const replica_pool& pool, instant now)
{
    std::erase_if(m_loads, [&pool, now](const std::pair<const std::string, load>& item) {
        const replica_pool::replica* const replica = pool.find(item.first);
        if (!replica || replica->isLeaving() || replica->vanishedAt)
            return true;
        return versionOf(*replica, item.second.model) >= item.second.version;
    });
    std::erase_if(m_pausedUntil, [now](const std::pair<const std::string, instant>& item) { return item.second <= now; });
}

bool weight_plan::isSingleVersion(std::string_view model, const route_table& routes) const
{
    const std::vector<route>& all = routes.configuration().routes;
    return std::any_of(all.begin(), all.end(), [&routes, model](const route& candidate) {
        if (!candidate.isSingleVersion)
            return false;
        return std::any_of(candidate.targets.begin(), candidate.targets.end(), [&routes, model](const route_target& target) {
            const service_definition* const service = routes.service(target.service);
            return service && service->engine
                && std::find(service->engine->models.begin(), service->engine->models.end(), model) != service->engine->models.end();
        });
    });
}

/// Assigns the replicas to the models: those without a limit first, so that no model depends on limited ones alone.
std::map<std::string, weight_plan::replica_list> weight_plan::assignReplicas(const replica_pool& pool, const service_definition& service, instant now) const
{
    replica_list unlimited;
    replica_list limited;
    for (const std::pair<const std::string, replica_pool::replica>& item : pool.replicas()) {
        const replica_pool::replica& replica = item.second;
        if (replica.entry.service != service.name || replica.isLeaving() || replica.vanishedAt)
            continue;
        (pool.limits().rate(replica.instance(), now) ? limited : unlimited).push_back(&replica);
    }
    std::map<std::string, replica_list> parts;
    if (service.engine->models.empty())
        return parts;
    assignInTurn(std::move(unlimited), service.engine->models, parts, now);
    assignInTurn(std::move(limited), service.engine->models, parts, now);
    return parts;
}

/// Assigns each replica of \a free: the model with the fewest replicas gets the one with its newest weights.
void weight_plan::assignInTurn(replica_list free, std::span<const std::string> models, std::map<std::string, replica_list>& parts, instant now)
{
    while (!free.empty()) {
        const std::string& model = *std::min_element(models.begin(), models.end(),
            [&parts](const std::string& left, const std::string& right) { return parts[left].size() < parts[right].size(); });
        const replica_pool::replica* const best = bestFor(model, free, now);
        parts[model].push_back(best);
        std::erase(free, best);
    }
}

const replica_pool::replica* weight_plan::bestFor(std::string_view model, const replica_list& free, instant now)
{
    const auto best = std::max_element(free.begin(), free.end(), [model, now](const replica_pool::replica* left, const replica_pool::replica* right) {
        const bool isLeftHealthy = left->suspectUntil <= now;
        const bool isRightHealthy = right->suspectUntil <= now;
        return std::make_tuple(versionOf(*left, model), isLeftHealthy) < std::make_tuple(versionOf(*right, model), isRightHealthy);
    });
    return *best;
}

}
