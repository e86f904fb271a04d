#pragma once

#include <rollout/journalrecord.h>
#include <rollout/replicapool.h>
#include <rollout/routeconfiguration.h>

#include <string>

namespace ragwortreach {

inline constexpr const char* testService = "pattern-chat";
inline constexpr const char* testModel = "lace-7b";

/// Point in virtual time.
instant at(std::chrono::milliseconds time);

replica_entry makeReplica(const std::string& id, const std::string& dataCentre, std::uint64_t version);

/// One service of engines with \a models, and one rollout route /lots/ that leads to it.
route_configuration makeConfiguration(std::vector<std::string> models, std::uint32_t slots);

/// Batch of \a groups groups of \a size items on the route of makeConfiguration().
batch_submission makeBatch(const std::string& id, std::size_t groups, std::size_t size);

}
