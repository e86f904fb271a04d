#pragma once

#include "batchledger.h"
#include "replicapool.h"
#include "routeconfiguration.h"
#include "scalingplan.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace ragwortreach {

/// Replicas of each service with scaling bounds that are busy, as far as one daemon can know.
///
/// Items without a result need a slot of an engine each. That many items wait does not show that more replicas would help,
/// so this demand never asks for more of them than are listed. The demand of a service is incomplete when it has other
/// work, since each daemon knows only its own calls of customers, or when it serves one of \a unreadModels, of which
/// batches were not read.
std::map<std::string, service_demand, std::less<>> replicaDemands(const route_configuration& configuration, const batch_ledger& ledger,
    const replica_pool& pool, const std::set<std::string, std::less<>>& unreadModels);

/// Models of the services with scaling bounds.
std::set<std::string, std::less<>> scaledModels(const route_configuration& configuration);

}
