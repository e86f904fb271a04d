#pragma once

#include <core/instant.h>

#include <cstdint>

namespace ragwortreach {

/// A daemon read a version of the operators' configuration from the log.
struct configuration_read {
    std::uint64_t version = 0;
    instant readAt {};
};

}
