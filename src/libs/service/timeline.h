#pragma once

#include <core/eventring.h>
#include <core/hybridclock.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

struct add_timeline_event;
class log;

/// Timeline of this process: the newest events in a ring buffer, with times of a hybrid logical clock.
class timeline {
public:
    /// Events that change a state are also written to \a log, one line each.
    timeline(std::string vm, log& log);

    void add(const add_timeline_event& event);

    /// New time of the clock to send with a message, packed.
    std::uint64_t stamp();
    /// Merges the packed time of a received message into the clock; 0 means that the message has none.
    void observe(std::uint64_t packed);

    /// JSON document with the events about \a subject (about anything when it is empty) later than \a since.
    std::string query(std::string_view subject, hybrid_time since) const;

private:
    std::string m_vm;
    log& m_log;
    hybrid_clock m_clock;
    event_ring m_ring;
};

}
