#pragma once

#include "batchindextable.h"
#include "daemonevent.h"
#include "streamappender.h"
#include "streamtail.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Reads the log stream `batches` continuously into a table, and appends records to it with retries.
///
/// A record whose append failed or whose reply was lost is appended again; a repeated record has no effect on the table.
class batch_index_tail {
public:
    batch_index_tail();

    /// Starts the next read and repeats failed appends. To be called periodically.
    void tick(daemon_context& context);
    /// Appends \a record, and repeats the append until it succeeds.
    void append(daemon_context& context, const batch_index_record& record);
    /// Each of these returns whether the event belonged to the stream.
    bool handle(daemon_context& context, const log_read_ended& event);
    bool handle(daemon_context& context, const append_ended& event);

    const batch_index_table& table() const { return m_table; }
    bool isLogDown() const { return m_tail.isLogDown(); }
    bool isCaughtUp() const { return m_tail.isCaughtUp(); }
    /// Start of the last read of the stream that did not yet show the opening of \a batch, so that the batch was opened
    /// after it. Empty when the first complete read of this process already showed the opening.
    std::optional<instant> openedAfter(const std::string& batch) const;

private:
    /// Stores the time for openedAfter() when \a data is the first opening of a batch.
    void rememberOpening(const std::string& data);

    batch_index_table m_table;
    stream_tail m_tail;
    stream_appender m_appender;
    /// Appended again at m_nextRetry.
    std::vector<log_append> m_failedAppends;
    std::map<std::string, instant> m_openedAfter;
    std::uint64_t m_position = 0;
    instant m_nextRetry {};
    /// Start of the last read that reached the end of the stream.
    std::optional<instant> m_lastReadStart;
    /// Start of the read in flight.
    instant m_readStart {};
};

}
