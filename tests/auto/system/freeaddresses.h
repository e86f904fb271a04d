#pragma once

#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// Addresses on ports that were free at the time; all differ.
std::vector<std::string> freeAddresses(std::size_t count);

}
