#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ragwortreach {

/// Counters of a daemon's decisions.
enum class daemon_counter : std::size_t {
    CallsReceived,
    CallsAnswered,
    /// Calls that were answered with an error and certainly did not run at an upstream.
    CallsRefused,
    /// Calls that were answered with an error although they ran or may have run at an upstream.
    CallsBroken,
    /// Calls answered with the recorded answer of an earlier call with the same idempotency key.
    CallsReplayed,
    AttemptsStarted,
    AttemptsFailed,
    AttemptsRepeated,
    BatchesOpened,
    BatchesRestored,
    BatchesFinished,
    BatchesHandedOver,
    FetchesReceived,
    FetchesForwarded,
    SamplesDelivered,
    StreamsStarted,
    StreamsFailed,
    StreamsStopped,
    ScoresAsked,
    ScoresFailed,
    RecordsAppended,
    AppendsFailed,
    AppendsUnknown,
    EditsSubmitted,
    OrdersSent,
    OrdersRefused,
    VmListFailures,
};

inline constexpr std::size_t daemonCounterCount = static_cast<std::size_t>(daemon_counter::VmListFailures) + 1;

/// Name of \a counter in lower case with underscores, such as "calls_received".
std::string_view toString(daemon_counter counter);

/// Counter values of one daemon since its start.
class daemon_counters {
public:
    void add(daemon_counter counter, std::uint64_t amount = 1) { m_values[static_cast<std::size_t>(counter)] += amount; }
    std::uint64_t value(daemon_counter counter) const { return m_values[static_cast<std::size_t>(counter)]; }

private:
    std::array<std::uint64_t, daemonCounterCount> m_values {};
};

}
