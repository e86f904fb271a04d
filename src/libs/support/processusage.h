#pragma once

#include <cstdint>

namespace ragwortreach {

class metrics;

/// Resource usage of this process as reported by the kernel.
struct process_usage {
    /// Processor time in user and kernel mode, in seconds.
    double cpuSeconds = 0;
    /// Resident memory, in bytes.
    std::uint64_t residentBytes = 0;
    std::uint64_t openFiles = 0;
    std::uint64_t threads = 0;
};

/// Reads the usage from /proc/self. Values that cannot be read are 0.
process_usage readProcessUsage();

/// Sets the metrics process_* of \a target to the present usage.
void setProcessUsageGauges(metrics& target);

}
