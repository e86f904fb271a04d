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

/// Follows the stream `batches` and appends to it until each record is in the log.
///
/// The fold takes repeated records without effect, so a record whose append failed or whose reply was lost
/// is appended again.
class batch_index_tail {
public:
    batch_index_tail();

    void tick(daemon_context& context);
    void append(daemon_context& context, const batch_index_record& record);
    /// Each returns whether the event belonged to the stream.
    bool handle(daemon_context& context, const log_read_ended& event);
    bool handle(daemon_context& context, const append_ended& event);

    const batch_index_table& table() const { return m_table; }
    bool isLogDown() const { return m_tail.isLogDown(); }
    bool isCaughtUp() const { return m_tail.isCaughtUp(); }
    /// Point in time at which this process knew that \a batch was not open yet; empty when it never did.
    std::optional<instant> openedAfter(const std::string& batch) const;

private:
    void noteOpening(const std::string& data);

    batch_index_table m_table;
    stream_tail m_tail;
    stream_appender m_appender;
    std::vector<log_append> m_failed;
    std::map<std::string, instant> m_openedAfter;
    std::uint64_t m_position = 0;
    instant m_retryAt {};
    std::optional<instant> m_lastReadStart;
    instant m_readStart {};
};

}
