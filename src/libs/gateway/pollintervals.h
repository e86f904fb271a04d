#pragma once

#include <core/instant.h>

namespace ragwortreach {

/// Poll intervals for topics of the platform: least time between two reads.
///
/// Each daemon follows the replica list, the journal and the leases. In a large fleet most daemons neither run batches nor
/// order weights. Those poll less often and learn of results, leases and replicas a little later, so that the reads of
/// the fleet stay within the capacity of the log.
struct poll_intervals {
    duration replicas {};
    duration journal {};
    duration leases {};
};

/// For daemons that hold a lease, that is, run batches or order weights.
inline constexpr poll_intervals activePollIntervals { std::chrono::milliseconds(30), std::chrono::milliseconds(60), std::chrono::milliseconds(30) };
/// For all others.
inline constexpr poll_intervals idlePollIntervals { std::chrono::milliseconds(250), std::chrono::milliseconds(120), std::chrono::milliseconds(120) };

}
