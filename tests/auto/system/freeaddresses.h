#pragma once

#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// \a count distinct loopback addresses ("ip:port") whose ports were free when this was called and were not returned
/// before. Another process may take one before the daemon listens on it.
std::vector<std::string> freeAddresses(std::size_t count);

}
