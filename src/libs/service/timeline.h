#pragma once

#include <core/eventring.h>
#include <core/hybridclock.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

struct add_timeline_event;
class log;

/// Time line of this process: a bounded ring of events on a hybrid logical clock.
class timeline {
public:
    /// Changes of state also go to \a log, one line each.
    timeline(std::string vm, log& log);

    void add(const add_timeline_event& event);

    /// Time to send along with a message.
    std::uint64_t stamp();
    /// Merges the time of a received message.
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
