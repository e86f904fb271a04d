#pragma once

#include "daemonevent.h"

#include <cstdint>
#include <string>

namespace ragwortreach::Internal {

class daemon_context;

/// Follows one stream of the log: one read is under way at any time.
class stream_tail {
public:
    explicit stream_tail(std::string stream);

    /// Starts a read from \a position unless one is under way or the pause after a failure lasts.
    void read(daemon_context& context, std::uint64_t position);
    /// Notes the end of a read. Returns whether \a event belongs to this tail and was expected.
    bool finishRead(daemon_context& context, const log_read_ended& event);

    const std::string& stream() const { return m_stream; }
    /// Whether the last read failed because the log cannot be reached.
    bool isLogDown() const { return m_isLogDown; }
    /// Whether a read has reached the end of the stream.
    bool isCaughtUp() const { return m_isCaughtUp; }

private:
    std::string m_stream;
    instant m_readSince {};
    instant m_retryAt {};
    bool m_isReading = false;
    bool m_isLogDown = false;
    bool m_isCaughtUp = false;
};

}
