#pragma once

#include "daemonevent.h"

#include <cstdint>
#include <string>

namespace ragwortreach::Internal {

class daemon_context;

/// Follows one stream of the log with at most one read in flight.
class stream_tail {
public:
    explicit stream_tail(std::string stream);

    /// Starts a read from \a position unless one is in flight or the pause after a failure is not over.
    void read(daemon_context& context, std::uint64_t position);
    /// Handles the end of a read. Returns false when \a event belongs to another stream.
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
