#include "replicademand.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Whether requests other than those of batches run at \a service.
    bool hasCalls(const route_configuration& configuration, const std::string& service)
    {
        return std::any_of(configuration.routes.begin(), configuration.routes.end(), [&service](const route& item) {
            return item.kind != route_kind::Rollout && std::any_of(item.targets.begin(), item.targets.end(), [&service](const route_target& target) { return target.service == service; });
        });
    }

    /// Number of items without a result, by model.
    std::map<std::string, std::size_t, std::less<>> openItems(const batch_ledger& ledger)
    {
        std::map<std::string, std::size_t, std::less<>> counts;
        for (const std::string& id : ledger.order()) {
            const ledger_batch* const batch = ledger.find(id);
            if (batch && batch->isOpen())
                counts[batch->submission.model] += batch->items.size() - batch->results.size();
        }
        return counts;
    }

    std::size_t countListed(const replica_pool& pool, const std::string& service)
    {
        return static_cast<std::size_t>(std::count_if(pool.replicas().begin(), pool.replicas().end(),
            [&service](const std::pair<const std::string, replica_pool::replica>& item) { return item.second.entry.service == service && !item.second.isLeaving(); }));
    }

}

std::map<std::string, service_demand, std::less<>> replicaDemands(const route_configuration& configuration, const batch_ledger& ledger,
    const replica_pool& pool, const std::set<std::string, std::less<>>& unreadModels)
{
    std::map<std::string, service_demand, std::less<>> demands;
    const std::map<std::string, std::size_t, std::less<>> open = openItems(ledger);
    for (const service_definition& service : configuration.services) {
        if (!service.scaling)
            continue;
        service_demand& demand = demands[service.name];
        demand.isComplete = service.engine && !hasCalls(configuration, service.name);
        if (!service.engine)
            continue;
        std::size_t items = 0;
        for (const std::string& model : service.engine->models) {
            const auto found = open.find(model);
            items += found == open.end() ? 0 : found->second;
            demand.isComplete = demand.isComplete && !unreadModels.contains(model);
        }
        // Without a replica, one is busy as soon as there is work, so that the first one is ordered.
        const double available = static_cast<double>(std::max<std::size_t>(1, countListed(pool, service.name)));
        demand.batch = std::min(available / scaling_plan::headroom, static_cast<double>(items) / std::max(1U, service.engine->slots));
    }
    return demands;
}

std::set<std::string, std::less<>> scaledModels(const route_configuration& configuration)
{
    std::set<std::string, std::less<>> models;
    for (const service_definition& service : configuration.services) {
        if (service.scaling && service.engine)
            models.insert(service.engine->models.begin(), service.engine->models.end());
    }
    return models;
}

}
