#pragma once

#include <core/instant.h>

namespace ragwortreach {

/// Time since the start of the VM (CLOCK_BOOTTIME). Unlike the monotonic clock it continues while the VM is suspended,
/// so leases and ages measured with it expire on time.
instant bootNow();

}
