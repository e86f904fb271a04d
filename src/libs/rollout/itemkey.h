#pragma once

#include <cstddef>
#include <string>
#include <tuple>

namespace ragwortreach {

/// Item of a batch, by its index in the submission.
struct item_key {
    std::string batch;
    std::size_t item = 0;

    bool operator<(const item_key& other) const { return std::tie(batch, item) < std::tie(other.batch, other.item); }
};

}
