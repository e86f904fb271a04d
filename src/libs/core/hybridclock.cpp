#include "hybridclock.h"

#include "resultcode.h"

#include <algorithm>

namespace ragwortreach {

hybrid_clock::hybrid_clock(std::chrono::milliseconds maxDrift)
    : m_maxDriftMilliseconds(static_cast<std::uint64_t>(std::max<std::chrono::milliseconds::rep>(0, maxDrift.count())))
{
}

hybrid_time hybrid_clock::next(std::uint64_t wallMilliseconds)
{
    // A full counter carries into the millisecond part, which keeps the order.
    const hybrid_time successor { m_last.packed + 1 };
    m_last = std::max(successor, hybrid_time::fromMilliseconds(wallMilliseconds));
    return m_last;
}

std::error_code hybrid_clock::receive(hybrid_time received, std::uint64_t wallMilliseconds)
{
    if (received.wallMilliseconds() > wallMilliseconds + m_maxDriftMilliseconds)
        return result_code::ValueOutOfRange;
    m_last = std::max(m_last, received);
    return {};
}

}
