#include "drainplan.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    /// Time within which the platform's load balancer notices that the daemon is not ready: it asks once a second, and
    /// the second miss counts.
    constexpr duration balancerNoticeTime = std::chrono::milliseconds(2500);
    /// The process stays this long, also for callers that were routed to it late.
    constexpr duration minDrainTime = std::chrono::milliseconds(3200);
    /// Time that the final answers need to reach their callers.
    constexpr duration answerMargin = std::chrono::milliseconds(300);
    /// Time that the process needs to end.
    constexpr duration endMargin = std::chrono::milliseconds(100);
    /// Requests may take this many times as long as usual.
    constexpr int usualTimeFactor = 2;

}

void drain_plan::begin(instant now, duration stopTime)
{
    if (m_begunAt)
        return;
    m_begunAt = now;
    m_stopTime = stopTime;
}

bool drain_plan::mayTake(duration longest, duration usual, instant now) const
{
    if (!m_begunAt)
        return true;
    const duration left = answersEnd() - now;
    return longest <= left || (!isOutOfRotation(now) && usual * usualTimeFactor <= left);
}

bool drain_plan::isOutOfRotation(instant now) const
{
    return m_begunAt && now - *m_begunAt > balancerNoticeTime;
}

bool drain_plan::mayEnd(instant now) const
{
    return m_begunAt && now - *m_begunAt > minDrainTime;
}

instant drain_plan::answersEnd() const
{
    return m_begunAt ? *m_begunAt + m_stopTime - std::min(answerMargin, m_stopTime / 4) : instant::max();
}

bool drain_plan::isOver(instant now) const
{
    return m_begunAt && now > *m_begunAt + m_stopTime - std::min(endMargin, m_stopTime / 10);
}

}
