#pragma once

#include <chrono>

namespace ragwortreach {

/// Span of time used by the core, in microseconds.
using duration = std::chrono::microseconds;

/// Monotonic clock whose readings are handed to the core from outside.
///
/// It has no now(): the core never reads a clock.
struct core_clock {
    using duration = ragwortreach::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock, duration>;
};

/// Monotonic point in time of one process. Not comparable between machines.
using instant = core_clock::time_point;

}
