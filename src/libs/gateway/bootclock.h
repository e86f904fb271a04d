#pragma once

#include <core/instant.h>

#include <boost/asio/basic_waitable_timer.hpp>

namespace ragwortreach {

/// Time since the start of the VM (CLOCK_BOOTTIME). Unlike the monotonic clock it continues while the VM is suspended,
/// so leases and ages measured with it expire on time.
instant bootNow();

/// Source of the time that bootNow() and boot_timer use.
class clock_source {
public:
    virtual ~clock_source() = default;

    virtual instant now() const = 0;
};

/// Makes bootNow() and boot_timer use \a source, which has to outlive its use; null stands for the clock of the VM. To be
/// called while no timer is waited for.
void setClockSource(const clock_source* source);

/// The clock of bootNow(), for timers.
struct boot_clock {
    using duration = core_clock::duration;
    using rep = core_clock::rep;
    using period = core_clock::period;
    using time_point = instant;

    static instant now() { return bootNow(); }
};

/// Timer that runs on boot_clock.
using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

}
