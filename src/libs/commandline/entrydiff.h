#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Differences between two bodies of an entry, one line for each key that was removed ("- key: value") or added
/// ("+ key: value"). An empty body stands for an entry that does not exist.
std::vector<std::string> diffBodies(std::string_view before, std::string_view after);

}
