#include "streamtail.h"

#include "daemoncontext.h"

namespace ragwortreach::Internal {

namespace {

    /// Time for which the log may hold a read open while there are no new records.
    constexpr duration readWait = std::chrono::seconds(2);
    /// Time-out after which a read without an answer is repeated; longer than readWait.
    constexpr duration readTimeout = std::chrono::seconds(6);
    constexpr duration retryPause = std::chrono::milliseconds(500);
    constexpr std::size_t maxRecordsPerRead = 500;

}

stream_tail::stream_tail(std::string stream)
    : m_stream(std::move(stream))
{
}

void stream_tail::read(daemon_context& context, std::uint64_t position)
{
    const bool isOverdue = m_isReading && context.now - m_readSince > readTimeout;
    if ((m_isReading && !isOverdue) || context.now < m_retryAt)
        return;
    m_isReading = true;
    m_readSince = context.now;
    context.emit(read_stream { m_stream, position, maxRecordsPerRead, m_isCaughtUp ? readWait : duration::zero() });
}

bool stream_tail::finishRead(daemon_context& context, const log_read_ended& event)
{
    if (event.stream != m_stream)
        return false;
    m_isReading = false;
    m_isLogDown = event.code == result_code::LogUnavailable;
    if (m_isLogDown)
        m_retryAt = context.now + retryPause;
    m_isCaughtUp = m_isCaughtUp || (event.code == result_code::Ok && event.page.next >= event.page.end);
    return true;
}

}
