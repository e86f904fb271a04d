#pragma once

#include "catalogueentry.h"
#include "completionmeter.h"
#include "instant.h"
#include "resultcode.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Number of classes in entry_class.
inline constexpr std::size_t entryClassCount = 2;

/// A call arrived and has to be admitted before it is sent to the upstream.
struct admission_requested {
    /// Id of the call, chosen by the user of the queue; unique among the calls that wait or run.
    std::uint64_t ticket = 0;
    entry_class entryClass = entry_class::Customer;
    /// Time by which the answer has to be complete.
    instant deadline;
};

/// An admitted call ended.
struct admission_released {
    std::uint64_t ticket = 0;
    /// Whether the complete answer arrived.
    bool isCompleted = true;
};

/// The caller of a waiting call closed its connection.
struct admission_withdrawn {
    std::uint64_t ticket = 0;
};

/// New limit on the calls that run at the upstream at one time.
struct admission_limit_changed {
    std::uint32_t limit = 0;
};

/// Whether all training calls, including waiting ones, are refused from now on.
struct admission_shedding_changed {
    bool shedTraining = false;
};

/// Time has passed.
struct admission_tick {
};

using admission_event = std::variant<admission_requested, admission_released, admission_withdrawn, admission_limit_changed,
    admission_shedding_changed, admission_tick>;

/// The call is admitted and may be sent.
struct admission_granted {
    std::uint64_t ticket = 0;
};

/// The call was not sent and is refused with DueTimeUnreachable, QueueFull or ShedForCapacity.
struct admission_refused {
    std::uint64_t ticket = 0;
    result_code code = result_code::QueueFull;
    /// Time after which a retry is likely to be admitted.
    duration retryAfter {};
};

using admission_effect = std::variant<admission_granted, admission_refused>;

struct admission_settings {
    /// Largest number of waiting calls, by entry_class.
    std::array<std::size_t, entryClassCount> maxQueued { 4096, 4096 };
    /// Largest number of calls that run at one time.
    std::uint32_t limit = 64;
};

/// Queue of the calls that wait for one upstream, which limits the calls that run there at one time.
///
/// Customer calls are admitted before training calls, and within a class the call with the earliest deadline first. A call
/// is refused on arrival when, by the measured completion rate, it cannot be answered by its deadline. It is also refused
/// when, at its turn, the mean service time exceeds the time that is left until its deadline.
class admission_queue {
public:
    explicit admission_queue(const admission_settings& settings);

    /// Applies \a event and returns the calls that are admitted or refused because of it.
    std::vector<admission_effect> handle(const admission_event& event, instant now);

    /// Number of admitted calls that have not ended.
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t inFlight(entry_class entryClass) const;
    /// Number of waiting calls.
    std::size_t queued(entry_class entryClass) const;
    /// Completions per second while the upstream was saturated; empty when there was too little of that time.
    std::optional<double> completionRate(instant now) { return m_meter.rate(now); }
    /// Mean time from the admission to the complete answer in \a entryClass; empty before the first answer.
    std::optional<duration> serviceTime(entry_class entryClass) const;

private:
    /// Ordered by deadline.
    struct waiting_call {
        instant deadline;
        std::uint64_t ticket = 0;

        bool operator<(const waiting_call& other) const;
    };
    struct running_call {
        entry_class entryClass = entry_class::Customer;
        instant grantedAt;
    };

    void on(const admission_requested& event);
    void on(const admission_released& event);
    void on(const admission_withdrawn& event);
    void on(const admission_limit_changed& event);
    void on(const admission_shedding_changed& event);
    void on(const admission_tick& event);

    void refuse(std::uint64_t ticket, result_code code, duration retryAfter);
    std::optional<duration> expectedWait(entry_class entryClass, instant deadline);
    /// Zero when the service time is not known.
    duration expectedService(entry_class entryClass) const;
    /// Admits waiting calls up to the limit.
    void grant();
    void grantFrom(entry_class entryClass);

    std::array<std::set<waiting_call>, entryClassCount> m_queues;
    std::map<std::uint64_t, running_call> m_running;
    std::array<std::uint32_t, entryClassCount> m_runningByClass {};
    std::array<std::optional<duration>, entryClassCount> m_serviceTimes;
    admission_settings m_settings;
    completion_meter m_meter;
    bool m_shedTraining = false;
    std::vector<admission_effect> m_effects;
    instant m_now {};
};

}
