#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace ragwortreach {

/// Partition whose holder orders weights. One holder orders for all replicas, since a replica serves several models
/// and takes orders from one holder at a time.
inline constexpr std::uint32_t ordersPartition = 0;

/// Models whose batches the holder of \a held runs. The models are spread evenly over the other partitions.
std::set<std::string, std::less<>> ownedModels(std::span<const std::string> models, const std::set<std::uint32_t>& held, std::uint32_t partitions);

}
