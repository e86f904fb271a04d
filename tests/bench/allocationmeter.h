#pragma once

#include <cstddef>

namespace ragwortreach::allocation_meter {

// A program that links this file has its allocations counted.

/// Sets the peak to what is allocated now, and returns that.
std::size_t restart();
/// Greatest number of bytes allocated at a time since the last restart().
std::size_t peakBytes();

}
