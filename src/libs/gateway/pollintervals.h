#pragma once

#include <core/instant.h>

namespace ragwortreach {

/// Least times between two reads of the platform's topics.
///
/// Load pattern: each daemon follows the lists, the journal and the leases, and in a large fleet most daemons neither
/// run batches nor order weights. Those may hear of results, leases and replicas a little later, so that the reads of
/// the fleet stay within what the log serves.
struct poll_intervals {
    duration replicas {};
    duration journal {};
    duration leases {};
};

/// For daemons that run batches or order weights.
inline constexpr poll_intervals activePollIntervals { std::chrono::milliseconds(30), std::chrono::milliseconds(60), std::chrono::milliseconds(30) };
/// For all others.
inline constexpr poll_intervals idlePollIntervals { std::chrono::milliseconds(250), std::chrono::milliseconds(120), std::chrono::milliseconds(120) };

}
