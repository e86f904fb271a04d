#pragma once

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Number of requests by organisation.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Requests that one process saw begin in one window of time. Window n begins n window lengths after the start of 1970.
struct usage_window {
    std::uint64_t number = 0;
    /// The window is over for the process, and it expects to count nothing more in it.
    bool isClosed = false;
    usage_counts counts;

    bool operator==(const usage_window&) const = default;
};

/// What a process counted in its last windows. A later record of the process replaces it.
struct process_usage {
    std::vector<usage_window> windows;
};

/// Counts of all processes for a window. The first report of a window in the log is the one that the platform gets.
struct usage_report {
    std::uint64_t window = 0;
    usage_counts counts;
};

/// The platform accepted the report of a window.
struct usage_accepted {
    std::uint64_t window = 0;
};

/// Record of the topic of usage reports.
using usage_record = std::variant<process_usage, usage_report, usage_accepted>;

/// Length of the windows, and the time after the end of a window at which its report is due.
struct usage_bounds {
    duration windowLength = std::chrono::seconds(5);
    duration dueTime = std::chrono::seconds(10);
};

}
