#include "dutypause.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    constexpr duration firstPause = std::chrono::milliseconds(300);
    constexpr duration maxPause = std::chrono::seconds(2);

}

void duty_pause::noteFailure(instant now)
{
    m_length = std::clamp(2 * m_length, firstPause, maxPause);
    m_until = now + m_length;
}

}
