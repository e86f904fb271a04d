#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Share that the daemons in sight are of those that may send requests to a replica in \a dataCentre.
///
/// \a visible is the number of daemons in sight, \a lostDataCentres has the data centre of each daemon that was lost sight
/// of. While all daemons of the replica's data centre are in sight the share is 1: daemons of other data centres that are
/// cut off from them are cut off from the replica, too.
double visibleShare(std::string_view dataCentre, std::size_t visible, std::span<const std::string> lostDataCentres);

}
