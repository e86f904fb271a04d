#include "rolloutfixture.h"

namespace ragwortreach {

instant at(std::chrono::milliseconds time)
{
    return instant(std::chrono::hours(1) + time);
}

replica_entry makeReplica(const std::string& id, const std::string& dataCentre, std::uint64_t version)
{
    replica_entry entry;
    entry.id = id;
    entry.service = testService;
    entry.address = "127.0.0.1:1";
    entry.dataCentre = dataCentre;
    entry.slots = 4;
    entry.startedAt = 1;
    entry.software = "v1";
    entry.weights[testModel] = version;
    return entry;
}

route_configuration makeConfiguration(std::vector<std::string> models, std::uint32_t slots)
{
    route_configuration configuration;
    configuration.version = 1;
    route rollouts;
    rollouts.name = "lots";
    rollouts.host = "lots.example";
    rollouts.pathPrefix = "/lots/";
    rollouts.kind = route_kind::Rollout;
    rollouts.targets = { { testService, 1 } };
    rollouts.maxAttempts = 3;
    rollouts.retention = std::chrono::seconds(40);
    configuration.routes.push_back(rollouts);
    service_definition service;
    service.name = testService;
    service.engine = engine_bounds { slots, 100000, std::move(models) };
    configuration.services.push_back(service);
    return configuration;
}

route_configuration makeRewardConfiguration(std::vector<std::string> models, std::uint32_t slots)
{
    route_configuration configuration = makeConfiguration(std::move(models), slots);
    route rewards;
    rewards.name = "rewards";
    rewards.host = "rewards.example";
    rewards.pathPrefix = "/score/";
    rewards.timeout = std::chrono::seconds(2);
    rewards.objective = std::chrono::milliseconds(400);
    rewards.targets = { { testRewardService, 1 } };
    rewards.maxAttempts = 3;
    configuration.routes.push_back(rewards);
    service_definition service;
    service.name = testRewardService;
    configuration.services.push_back(service);
    return configuration;
}

batch_submission makeBatch(const std::string& id, std::size_t groups, std::size_t size)
{
    batch_submission batch;
    batch.id = id;
    batch.host = "lots.example";
    batch.model = testModel;
    batch.minVersion = 1;
    batch.configuration = 1;
    batch.wantedGroups = static_cast<std::uint32_t>(groups);
    for (std::size_t group = 0; group < groups; ++group) {
        for (std::size_t index = 0; index < size; ++index) {
            std::string name = std::to_string(group);
            name += '-';
            name += std::to_string(index);
            std::string itemId = id;
            itemId += '-';
            itemId += name;
            batch.items.push_back({ std::move(itemId), "/lots/" + name, {}, "prompt", 100, 0, "group-" + std::to_string(group) });
        }
    }
    return batch;
}

}
