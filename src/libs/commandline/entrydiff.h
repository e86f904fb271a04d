#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Differences between two bodies of an entry: one line for each key that was removed ("- key: value") or added
/// ("+ key: value"), both for a changed value. An empty body means an entry that does not exist.
std::vector<std::string> diffBodies(std::string_view before, std::string_view after);

}
