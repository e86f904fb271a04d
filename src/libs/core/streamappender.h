#pragma once

#include "daemonevent.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach::Internal {

class daemon_context;

/// Appends records of many requests to one stream, all that wait in one append.
class stream_appender {
public:
    /// Record of one request.
    struct item {
        request_number number = 0;
        log_append record;
    };

    explicit stream_appender(std::string stream);

    void add(daemon_context& context, item added);
    /// Records whose append ended, when \a event is the end of the present append.
    std::vector<item> finishAppend(daemon_context& context, const append_ended& event);

private:
    void flush(daemon_context& context);

    std::string m_stream;
    std::uint64_t m_append = 0;
    std::vector<item> m_underWay;
    std::vector<item> m_waiting;
};

}
