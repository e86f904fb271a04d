#include "ratelimit.h"

namespace ragwortreach::StandIns {

bool rate_limit::admit(std::chrono::steady_clock::time_point now, std::int64_t perSecond)
{
    if (perSecond <= 0)
        return true;
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_calls = 0;
    }
    if (m_calls >= perSecond)
        return false;
    ++m_calls;
    return true;
}

}
