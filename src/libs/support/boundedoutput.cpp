#include "boundedoutput.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace ragwortreach {

bool bounded_output::write(std::string_view line)
{
    flush();
    if (pendingBytes() + line.size() > maxPendingBytes) {
        ++m_linesLeftOut;
        return false;
    }
    m_pending += line;
    flush();
    return true;
}

void bounded_output::flush()
{
    while (pendingBytes() > 0 && isWritable()) {
        // A pipe that polls as writable takes PIPE_BUF bytes without blocking (POSIX).
        const std::size_t size = std::min<std::size_t>(pendingBytes(), PIPE_BUF);
        const ssize_t written = ::write(m_descriptor, m_pending.data() + m_begin, size);
        if (written <= 0)
            return;
        m_begin += static_cast<std::size_t>(written);
    }
    m_pending.erase(0, m_begin);
    m_begin = 0;
}

bool bounded_output::isWritable() const
{
    pollfd state { m_descriptor, POLLOUT, 0 };
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}
