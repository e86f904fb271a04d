#include "retrypause.h"

#include <algorithm>

namespace ragwortreach {

retry_pause::retry_pause(duration first, duration longest)
    : m_first(first)
    , m_longest(longest)
    , m_random(std::random_device {}())
{
}

void retry_pause::noteFailure()
{
    m_bound = std::clamp(2 * m_bound, m_first, m_longest);
}

duration retry_pause::next()
{
    const duration bound = std::max(m_first, m_bound);
    std::uniform_int_distribution<duration::rep> pause(bound.count() / 2, bound.count());
    return duration(pause(m_random));
}

}
