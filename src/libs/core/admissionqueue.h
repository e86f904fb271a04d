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

/// A call asks for a place at the upstream.
struct admission_requested {
    /// Chosen by the caller of the queue, unique among the calls that wait or run.
    std::uint64_t ticket = 0;
    entry_class entryClass = entry_class::Customer;
    /// When the answer has to be whole.
    instant deadline;
};

/// An admitted call ended.
struct admission_released {
    std::uint64_t ticket = 0;
    /// Whether it was answered whole.
    bool isCompleted = true;
};

/// The caller of a call that waits is gone.
struct admission_withdrawn {
    std::uint64_t ticket = 0;
};

/// Number of calls that the upstream may have at one time.
struct admission_limit_changed {
    std::uint32_t limit = 0;
};

/// Whether calls of training are refused from now on, also those that wait.
struct admission_shedding_changed {
    bool shedTraining = false;
};

/// Time has passed.
struct admission_tick {
};

using admission_event = std::variant<admission_requested, admission_released, admission_withdrawn, admission_limit_changed,
    admission_shedding_changed, admission_tick>;

/// The call has a place and may be sent.
struct admission_granted {
    std::uint64_t ticket = 0;
};

/// The call has not run and is refused, with DueTimeUnreachable, QueueFull or ShedForCapacity.
struct admission_refused {
    std::uint64_t ticket = 0;
    result_code code = result_code::QueueFull;
    /// Time after which another try is likely to be admitted.
    duration retryAfter {};
};

using admission_effect = std::variant<admission_granted, admission_refused>;

struct admission_settings {
    /// Largest number of calls that wait, by entry_class.
    std::array<std::size_t, entryClassCount> maxQueued { 4096, 4096 };
    std::uint32_t limit = 64;
};

/// Queue of the calls that wait for one upstream.
///
/// Customers go before training, and within a class the call that is due first. A call is refused on arrival when
/// the measured completion rate says that it cannot be whole in time, and before it is sent when its time is nearly over.
class admission_queue {
public:
    explicit admission_queue(const admission_settings& settings);

    std::vector<admission_effect> handle(const admission_event& event, instant now);

    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t inFlight(entry_class entryClass) const;
    std::size_t queued(entry_class entryClass) const;
    /// Completions per second while calls waited; empty when it is not known.
    std::optional<double> completionRate(instant now) { return m_meter.rate(now); }
    /// Mean time from the grant to the whole answer of \a entryClass; empty before the first one.
    std::optional<duration> serviceTime(entry_class entryClass) const;

private:
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
    duration expectedService(entry_class entryClass) const;
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
