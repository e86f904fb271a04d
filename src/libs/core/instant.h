#pragma once

#include <chrono>

namespace ragwortreach {

/// Time span in the core, in microseconds.
using duration = std::chrono::microseconds;

/// Type of the monotonic clock whose readings the caller passes to the core.
///
/// It has no now(), since the core never reads a clock: tests run it on virtual time.
struct core_clock {
    using duration = ragwortreach::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock, duration>;
};

/// Monotonic point in time of one process. Not comparable between machines.
using instant = core_clock::time_point;

}
