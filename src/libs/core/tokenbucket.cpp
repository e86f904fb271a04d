#include "tokenbucket.h"

#include <algorithm>

namespace ragwortreach {

token_bucket::token_bucket(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(std::max(burst, 1.0))
    , m_tokens(m_burst)
{
}

bool token_bucket::take(instant now)
{
    if (now > m_refilledAt) {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
        m_refilledAt = now;
    }
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

}
