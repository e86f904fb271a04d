#pragma once

#include <chrono>

namespace ragwortreach::StandIns {

/// Counts calls in fixed windows of one second.
class rate_limit {
public:
    /// True when one more call fits into \a perSecond; 0 means no limit.
    bool admit(std::chrono::steady_clock::time_point now, std::int64_t perSecond);

private:
    std::chrono::steady_clock::time_point m_windowStart;
    std::int64_t m_calls = 0;
};

}
