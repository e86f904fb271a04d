#pragma once

#include <rollout/journalrecord.h>
#include <rollout/replicapool.h>
#include <rollout/routeconfiguration.h>

#include <string>

namespace ragwortreach {

inline constexpr const char* testService = "pattern-chat";
inline constexpr const char* testModel = "lace-7b";
inline constexpr const char* testRewardService = "swap-app";

/// Point in virtual time, \a time after its start.
instant at(std::chrono::milliseconds time);

replica_entry makeReplica(const std::string& id, const std::string& dataCentre, std::uint64_t version);

/// Configuration with one service of engines that serve \a models, and one rollout route /lots/ to it.
route_configuration makeConfiguration(std::vector<std::string> models, std::uint32_t slots);

/// The same with a plain service for rewards and a route to it.
route_configuration makeRewardConfiguration(std::vector<std::string> models, std::uint32_t slots);

/// Time of confirmation with which a ledger counts as up to date throughout a test.
inline constexpr instant alwaysConfirmed = instant::max();

/// Batch with \a groups groups of \a size items each, accepted under makeConfiguration() and for its route.
batch_submission makeBatch(const std::string& id, std::size_t groups, std::size_t size);

}
