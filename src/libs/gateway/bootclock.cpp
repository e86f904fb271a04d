#include "bootclock.h"

#include <ctime>

namespace ragwortreach {

namespace {

    class vm_clock : public clock_source {
    public:
        instant now() const override
        {
            timespec time {};
            clock_gettime(CLOCK_BOOTTIME, &time);
            return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
        }
    };

    const vm_clock vmClock;
    const clock_source* currentSource = &vmClock;

}

void setClockSource(const clock_source* source)
{
    currentSource = source ? source : &vmClock;
}

instant bootNow()
{
    return currentSource->now();
}

}
