#pragma once

#include <cstdint>

namespace ragwortreach {

class metrics;

/// What the kernel says about this process.
struct process_usage {
    /// Processor time in user and kernel mode, in seconds.
    double cpuSeconds = 0;
    /// Resident memory, in bytes.
    std::uint64_t residentBytes = 0;
    std::uint64_t openFiles = 0;
    std::uint64_t threads = 0;
};

/// Reads /proc/self. Values that cannot be read are 0.
process_usage readProcessUsage();

/// Sets the gauges of process_usage in \a target.
void setProcessUsageGauges(metrics& target);

}
