#pragma once

#include "claimtable.h"
#include "daemonevent.h"
#include "streamtail.h"

#include <optional>

namespace ragwortreach::Internal {

class daemon_context;

/// Follows the stream `claims` and folds it.
class claim_tail {
public:
    claim_tail();

    void tick(daemon_context& context);
    /// Returns whether the event belonged to the stream.
    bool handle(daemon_context& context, const log_read_ended& event);

    const claim_table& table() const { return m_table; }
    /// Whether claims can be neither read nor, as far as known, written.
    bool isLogDown() const { return m_tail.isLogDown(); }
    /// Whether enough of the stream was read to decide about claims.
    bool isReady() const { return m_isStarted && m_tail.isCaughtUp() && m_table.isComplete(); }

private:
    void start(const log_page& page);

    claim_table m_table;
    stream_tail m_tail;
    bool m_isStarted = false;
};

}
