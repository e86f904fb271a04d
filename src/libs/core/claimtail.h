#pragma once

#include "claimtable.h"
#include "daemonevent.h"
#include "streamtail.h"

#include <optional>

namespace ragwortreach::Internal {

class daemon_context;

/// Reads the log stream `claims` continuously into a table.
class claim_tail {
public:
    claim_tail();

    /// Starts the next read. To be called periodically.
    void tick(daemon_context& context);
    /// Returns whether the event belonged to the stream.
    bool handle(daemon_context& context, const log_read_ended& event);

    const claim_table& table() const { return m_table; }
    /// Whether the last read failed, so that claims can presumably not be written either.
    bool isLogDown() const { return m_tail.isLogDown(); }
    /// Whether the stream was read to its end and far enough back to decide about claims.
    bool isReady() const { return m_isStarted && m_tail.isCaughtUp() && m_table.coversMaxAge(); }

private:
    /// Sets the first offset to apply from the first page of the log.
    void start(const log_page& page);

    claim_table m_table;
    stream_tail m_tail;
    bool m_isStarted = false;
};

}
