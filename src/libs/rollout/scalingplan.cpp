#include "scalingplan.h"

#include <algorithm>
#include <cmath>

namespace ragwortreach {

namespace {

    /// The median of three looks leaves out a peak that only one of them shows, and follows a step at the second.
    constexpr std::size_t smoothedLooks = 3;
    constexpr int lowerDelayStarts = 4;
    /// Part of the replicas of a service that may be released at once, as its divisor.
    constexpr std::uint32_t lowerDivisor = 10;
    constexpr duration minLowerPause = std::chrono::seconds(10);

    std::uint32_t replicasFor(double busy)
    {
        constexpr double tolerance = 1e-3;
        return static_cast<std::uint32_t>(std::ceil(std::clamp(busy * scaling_plan::headroom - tolerance, 0.0, 1e6)));
    }

    double median(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    std::uint32_t difference(std::uint32_t from, std::uint32_t less)
    {
        return from > less ? from - less : 0;
    }

}

std::uint32_t scaling_plan::service_view::total() const
{
    std::uint32_t sum = 0;
    for (const site& item : sites)
        sum += item.isAvoided ? item.listed : item.total();
    return sum;
}

std::uint32_t scaling_plan::service_view::regular() const
{
    std::uint32_t sum = 0;
    for (const site& item : sites)
        sum += item.regular;
    return sum;
}

/// Replicas that may be added in a data centre. None gets more than half of a service, so that the loss of one leaves the
/// other half; with two data centres that take orders an odd number is rounded up, and a single one gets all.
std::uint32_t scaling_plan::service_view::room(const site& site) const
{
    if (!site.isUsable())
        return 0;
    const std::ptrdiff_t usable = std::count_if(sites.begin(), sites.end(), [](const scaling_plan::site& item) { return item.isUsable(); });
    if (usable == 1)
        return difference(bounds.maxReplicas, site.total());
    const std::uint32_t half = usable == 2 ? (need.total + 1) / 2 : std::max(1U, need.total / 2);
    return difference(std::min(bounds.maxReplicas, std::max(bounds.minReplicas, half)), site.total());
}

void scaling_plan::clear()
{
    m_services.clear();
    m_groups.clear();
    m_listedSince.reset();
    m_unanswered.reset();
}

duration scaling_plan::lowerDelay(const scaling_bounds& bounds)
{
    return std::max(quietTime, lowerDelayStarts * bounds.startTime);
}

void scaling_plan::observe(const scaling_view& view)
{
    // An empty list rather shows an outage of the list than one of all replicas.
    if (!view.isListKnown || view.replicas.empty()) {
        m_listedSince.reset();
        return;
    }
    if (!m_listedSince)
        m_listedSince = view.now;
    for (const service_definition& service : view.services) {
        if (!service.scaling)
            continue;
        noteDemand(service, view);
        noteReplicas(service, view);
    }
}

scaling_plan::sample scaling_plan::smoothed(const service_state& state, instant now)
{
    std::vector<double> live;
    std::vector<double> batch;
    for (const service_demand& look : state.looks) {
        live.push_back(look.live);
        batch.push_back(look.batch);
    }
    return { now, median(std::move(live)), median(std::move(batch)), state.looks.back().live + state.looks.back().batch };
}

void scaling_plan::noteDemand(const service_definition& service, const scaling_view& view)
{
    const auto demand = view.demands.find(service.name);
    if (demand == view.demands.end()) {
        // What is unknown now may have risen meanwhile, so the observation begins anew.
        m_services[service.name].samples.clear();
        return;
    }
    service_state& state = m_services[service.name];
    state.settleTime = settleTime(*service.scaling);
    if (state.samples.empty()) {
        state.observedSince = view.now;
        state.looks.clear();
    }
    state.observedAt = view.now;
    state.looks.push_back(demand->second);
    if (state.looks.size() > smoothedLooks)
        state.looks.pop_front();
    state.samples.push_back(smoothed(state, view.now));
    while (view.now - state.samples.front().at > std::max(baseTime, lowerDelay(*service.scaling)))
        state.samples.pop_front();
}

std::set<std::string> scaling_plan::dataCentresOf(const service_definition& service, const scaling_view& view)
{
    std::set<std::string> names;
    for (const std::pair<const std::string, double>& price : service.scaling->dataCentrePrices)
        names.insert(price.first);
    for (const listed_replica& replica : view.replicas) {
        if (replica.group.service == service.name)
            names.insert(replica.group.dataCentre);
    }
    return names;
}

void scaling_plan::noteReplicas(const service_definition& service, const scaling_view& view)
{
    std::map<replica_group, std::uint32_t> counts;
    for (const std::string& dataCentre : dataCentresOf(service, view)) {
        for (const bool isSpot : { false, true })
            counts[{ service.name, dataCentre, isSpot }] = 0;
    }
    for (const std::pair<const replica_group, group_state>& known : m_groups) {
        if (known.first.service == service.name)
            counts[known.first] = 0;
    }
    for (const listed_replica& replica : view.replicas) {
        if (replica.group.service == service.name && !replica.isDraining)
            ++counts[replica.group];
    }
    const bool wasObserved = isObserved(service, view.now);
    service_state& state = m_services[service.name];
    for (const std::pair<const replica_group, std::uint32_t>& count : counts) {
        const bool isNew = !m_groups.contains(count.first);
        group_state& group = m_groups[count.first];
        const bool hasOrder = group.settlesAt != instant {};
        // Orders of a former holder may show only now.
        if (isNew || (!wasObserved && !hasOrder))
            group.listed = group.ordered = std::max(group.ordered, count.second);
        noteGroup(count.first, count.second, state, view.now);
    }
}

void scaling_plan::noteGroup(const replica_group& group, std::uint32_t listed, service_state& state, instant now)
{
    group_state& known = m_groups[group];
    const bool isSettled = now >= known.settlesAt;
    const bool isLoss = listed < known.ordered && (isSettled || listed < known.listed);
    known.listed = listed;
    if (isLoss) {
        known.settlesAt = std::min(known.settlesAt, now);
        state.lostAt[group.dataCentre] = now;
    }
    if (isLoss && group.isSpot)
        state.spotBlockedUntil = now + spotPause;
    // Spot replicas that were reclaimed, and regular ones that a repeated order did not bring back, are not expected here.
    if (isLoss && !group.isSpot && known.isRepeated)
        state.avoidedUntil[group.dataCentre] = now + avoidanceTime;
    if (isLoss && (group.isSpot || known.isRepeated))
        known.ordered = listed;
    if (listed >= known.ordered)
        known.isRepeated = false;
    if (!isSettled || listed == known.ordered) {
        known.differsSince.reset();
        return;
    }
    if (!known.differsSince)
        known.differsSince = now;
    // More replicas for a short time are rather those of an upgrade than those of another order, and lost ones may return.
    if (now - *known.differsSince >= quietTime)
        known.ordered = listed;
}

bool scaling_plan::isObserved(const service_definition& service, instant now) const
{
    const auto state = m_services.find(service.name);
    if (!m_listedSince || state == m_services.end() || state->second.samples.empty())
        return false;
    const instant since = std::max(*m_listedSince, state->second.observedSince);
    return now - since >= std::max(observationTime, settleTime(*service.scaling));
}

std::uint32_t scaling_plan::expected(const replica_group& group, instant now) const
{
    const auto known = m_groups.find(group);
    if (known == m_groups.end())
        return 0;
    return now < known->second.settlesAt ? known->second.ordered : known->second.listed;
}

scaling_plan::service_need scaling_plan::needOf(const service_definition& service, const service_state& state, bool isComplete, std::size_t sites) const
{
    const scaling_bounds& bounds = *service.scaling;
    double peak = 0;
    double peakLive = 0;
    double highest = 0;
    double leastBatch = state.samples.front().batch;
    for (const sample& item : state.samples) {
        leastBatch = std::min(leastBatch, item.batch);
        if (state.observedAt - item.at > lowerDelay(bounds))
            continue;
        peak = std::max(peak, item.live + item.batch);
        peakLive = std::max(peakLive, item.live);
        highest = std::max(highest, item.highest);
    }
    const std::uint32_t count = static_cast<std::uint32_t>(sites);
    const std::uint32_t least = bounds.minReplicas * count;
    const std::uint32_t most = std::max(least, bounds.maxReplicas * count);
    service_need need;
    need.total = std::clamp(isComplete ? replicasFor(peak) : std::max(replicasFor(peak), state.found.value_or(0)), least, most);
    need.kept = std::max(need.total, std::min(most, replicasFor(highest)));
    need.live = std::min(need.total, replicasFor(peakLive));
    // Unknown load may be that of customers.
    need.base = isComplete ? std::min(need.total, replicasFor(peakLive + leastBatch)) : need.total;
    return need;
}

std::uint32_t scaling_plan::orderedOf(std::string_view service) const
{
    std::uint32_t sum = 0;
    for (const std::pair<const replica_group, group_state>& group : m_groups)
        sum += group.first.service == service ? group.second.ordered : 0;
    return sum;
}

scaling_plan::service_view scaling_plan::viewOf(const service_definition& service, const scaling_view& view)
{
    service_view result { service, *service.scaling, {}, {}, view.demands.at(service.name).isComplete, view.now };
    service_state& state = m_services[service.name];
    for (const std::string& dataCentre : dataCentresOf(service, view)) {
        const auto price = service.scaling->dataCentrePrices.find(dataCentre);
        site item;
        item.dataCentre = dataCentre;
        item.price = price == service.scaling->dataCentrePrices.end() ? 1 : price->second;
        item.regular = expected({ service.name, dataCentre, false }, view.now);
        item.spot = expected({ service.name, dataCentre, true }, view.now);
        item.listed = m_groups[{ service.name, dataCentre, false }].listed + m_groups[{ service.name, dataCentre, true }].listed;
        item.isBarred = view.barred.contains({ service.name, dataCentre });
        const auto avoided = state.avoidedUntil.find(dataCentre);
        item.isAvoided = avoided != state.avoidedUntil.end() && view.now < avoided->second;
        result.sites.push_back(std::move(item));
    }
    std::stable_sort(result.sites.begin(), result.sites.end(), [](const site& left, const site& right) { return left.price < right.price; });
    if (result.isComplete)
        state.found.reset();
    else if (!state.found)
        state.found = orderedOf(service.name);
    result.need = needOf(service, state, result.isComplete, result.sites.size());
    return result;
}

std::optional<scaling_order> scaling_plan::next(const scaling_view& view)
{
    for (const service_definition& service : view.services) {
        if (!service.scaling || !view.demands.contains(service.name) || !isObserved(service, view.now))
            continue;
        const service_view known = viewOf(service, view);
        if (m_unanswered && m_unanswered->group.service == service.name) {
            const replica_group& group = m_unanswered->group;
            const std::uint32_t released = difference(m_groups[group].ordered, m_unanswered->count);
            const bool isBarred = view.barred.contains({ group.service, group.dataCentre });
            // An order to release replicas is not repeated when they are needed again.
            if (!isBarred && (released == 0 || difference(known.total(), released) >= known.need.kept))
                return m_unanswered;
        }
        std::optional<scaling_order> order = planService(known);
        if (order)
            return order;
    }
    return std::nullopt;
}

std::optional<scaling_order> scaling_plan::planService(const service_view& service)
{
    std::optional<scaling_order> order = raise(service);
    if (order)
        return order;
    return mayLower(service) ? lower(service) : std::nullopt;
}

std::optional<scaling_order> scaling_plan::raise(const service_view& service) const
{
    const scaling_bounds& bounds = service.bounds;
    for (const site& item : service.sites) {
        if (!item.isBarred && item.total() < bounds.minReplicas)
            return raiseGroup(service, item, false, bounds.minReplicas - item.total());
    }
    const std::uint32_t missing = difference(service.need.total, service.total());
    if (missing > 0) {
        std::optional<scaling_order> repeated = repeatLost(service);
        if (repeated)
            return repeated;
    }
    const std::uint32_t missingLive = service.isComplete ? difference(service.need.live, service.regular()) : 0;
    const std::uint32_t missingBase = std::max(missingLive, std::min(missing, difference(service.need.base, service.regular())));
    const bool usesSpot = missingBase == 0 && bounds.spotPrice < 1 && service.now >= m_services.find(service.definition.name)->second.spotBlockedUntil;
    const std::uint32_t added = missingBase > 0 ? missingBase : missing;
    for (const site& item : service.sites) {
        const std::uint32_t count = std::min(added, service.room(item));
        if (count > 0)
            return raiseGroup(service, item, usesSpot, count);
    }
    return std::nullopt;
}

/// Order for the number of regular replicas that a data centre had before it lost some. The platform may replace them by
/// itself, and others in another data centre would then be too many.
std::optional<scaling_order> scaling_plan::repeatLost(const service_view& service) const
{
    for (const site& item : service.sites) {
        const auto known = m_groups.find({ service.definition.name, item.dataCentre, false });
        if (!item.isBarred && known != m_groups.end() && item.regular < known->second.ordered)
            return scaling_order { known->first, known->second.ordered };
    }
    return std::nullopt;
}

/// Order for \a added more replicas; it never lowers what is listed or was ordered.
std::optional<scaling_order> scaling_plan::raiseGroup(const service_view& service, const site& site, bool isSpot, std::uint32_t added) const
{
    const replica_group group { service.definition.name, site.dataCentre, isSpot };
    const auto known = m_groups.find(group);
    const group_state state = known == m_groups.end() ? group_state {} : known->second;
    const std::uint32_t present = isSpot ? site.spot : site.regular;
    return scaling_order { group, std::max({ present + added, state.ordered, state.listed }) };
}

bool scaling_plan::mayLower(const service_view& service) const
{
    const service_state& state = m_services.find(service.definition.name)->second;
    const duration delay = lowerDelay(service.bounds);
    const duration pause = std::max(minLowerPause, settleTime(service.bounds));
    const instant since = std::max(*m_listedSince, state.observedSince);
    return service.isComplete && service.now - since >= delay && (state.raisedAt == instant {} || service.now - state.raisedAt >= delay)
        && (state.loweredAt == instant {} || service.now - state.loweredAt >= pause);
}

/// Replicas of one kind that may be released in a data centre now.
std::uint32_t scaling_plan::lowerStep(const service_view& service, const site& site, bool isSpot) const
{
    const service_state& state = m_services.find(service.definition.name)->second;
    const group_state& group = m_groups.find({ service.definition.name, site.dataCentre, isSpot })->second;
    // With more replicas listed than ordered, such as during an upgrade, an order could raise the number.
    if (group.listed != group.ordered)
        return 0;
    const auto lost = state.lostAt.find(site.dataCentre);
    if (site.isBarred || (lost != state.lostAt.end() && service.now - lost->second < lowerDelay(service.bounds)))
        return 0;
    const std::uint32_t surplus = difference(service.total(), service.need.kept);
    const std::uint32_t surplusRegular = difference(service.regular(), std::max(service.need.live, service.need.base));
    const std::uint32_t ofKind = isSpot ? site.spot : std::min(site.regular, surplusRegular);
    return std::min({ surplus, std::max(1U, service.total() / lowerDivisor), difference(site.total(), service.bounds.minReplicas), ofKind });
}

std::optional<scaling_order> scaling_plan::lower(const service_view& service) const
{
    std::optional<scaling_order> order;
    double highestPrice = -1;
    for (const site& item : service.sites) {
        for (const bool isSpot : { false, true }) {
            const double price = isSpot ? item.price * service.bounds.spotPrice : item.price;
            const std::uint32_t step = lowerStep(service, item, isSpot);
            if (step == 0 || price <= highestPrice)
                continue;
            highestPrice = price;
            order = scaling_order { { service.definition.name, item.dataCentre, isSpot }, (isSpot ? item.spot : item.regular) - step };
        }
    }
    return order;
}

void scaling_plan::onOutcome(const scaling_order& order, scaling_outcome outcome, instant now)
{
    m_unanswered.reset();
    const auto known = m_groups.find(order.group);
    if (known == m_groups.end())
        return;
    group_state& group = known->second;
    service_state& state = m_services[order.group.service];
    switch (outcome) {
    case scaling_outcome::Accepted:
        (order.count < std::max(group.ordered, group.listed) ? state.loweredAt : state.raisedAt) = now;
        group.isRepeated = order.count == group.ordered;
        group.ordered = order.count;
        group.settlesAt = now + state.settleTime;
        return;
    case scaling_outcome::NotAvailable:
        state.spotBlockedUntil = now + spotPause;
        return;
    case scaling_outcome::Unknown:
        m_unanswered = order;
        return;
    case scaling_outcome::Refused:
        return;
    }
}

}
