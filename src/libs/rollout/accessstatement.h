#pragma once

#include <core/instant.h>

#include <cstdint>
#include <string>

namespace ragwortreach {

/// A daemon says whether it takes the calls of others.
struct access_statement {
    std::string vm;
    /// It reaches replicas, and may route by its configuration.
    bool hasAccess = true;
    /// Grows with each statement of the VM, since times shift a little with each daemon that passes a statement on.
    std::uint64_t number = 0;
    instant statedAt {};
};

}
