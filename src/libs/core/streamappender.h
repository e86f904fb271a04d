#pragma once

#include "daemonevent.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Appends records of many requests to one stream.
///
/// At most one append is in flight. Records that are added meanwhile wait and go into the next append together.
class stream_appender {
public:
    /// Record of one request.
    struct item {
        request_number number = 0;
        log_append record;
    };

    explicit stream_appender(std::string stream);

    /// Adds a record; it is appended at once when no append is in flight.
    void add(daemon_context& context, item added);
    /// Handles the end of the append in flight and starts the next one. Returns the records of the ended append; none
    /// when \a event belongs to another append.
    std::vector<item> finishAppend(daemon_context& context, const append_ended& event);

private:
    void flush(daemon_context& context);

    std::string m_stream;
    /// Number of the append in flight; 0 when there is none.
    std::uint64_t m_append = 0;
    std::vector<item> m_inFlight;
    std::vector<item> m_waiting;
};

}
