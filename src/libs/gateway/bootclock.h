#pragma once

#include <core/instant.h>

namespace ragwortreach {

/// Time since the start of the VM. Unlike the monotonic clock it goes on while the VM is suspended, so leases and
/// ages that are measured with it end in time.
instant bootNow();

}
