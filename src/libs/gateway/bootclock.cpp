#include "bootclock.h"

#include <ctime>

namespace ragwortreach {

instant bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}
