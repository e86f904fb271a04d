#pragma once

#include "batchevent.h"
#include "batchspec.h"
#include "daemonevent.h"
#include "streamtail.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Reads the log stream of one batch, so that this daemon can continue the batch.
class batch_restore {
public:
    batch_restore(const std::string& batch, std::optional<batch_spec> spec);

    void tick(daemon_context& context);
    /// Returns whether the event belonged to the stream.
    bool handle(daemon_context& context, const log_read_ended& event);

    /// Whether reading is over: the stream was read to its end, or the log is down.
    bool isDone() const { return m_tail.isCaughtUp() || m_tail.isLogDown(); }
    /// Spec of the batch from a request or from the stream; empty when neither contained it.
    const std::optional<batch_spec>& spec() const { return m_spec; }
    void setSpec(batch_spec spec) { m_spec = std::move(spec); }
    const std::vector<restored_record>& records() const { return m_records; }

private:
    stream_tail m_tail;
    std::optional<batch_spec> m_spec;
    std::vector<restored_record> m_records;
    std::uint64_t m_position = 0;
};

/// Name of the log stream that holds the samples of \a batch.
std::string batchStream(std::string_view batch);

}
