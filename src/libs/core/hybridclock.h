#pragma once

#include "hybridtime.h"

#include <chrono>
#include <cstdint>
#include <system_error>

namespace ragwortreach {

/// Hybrid logical clock of one process.
///
/// It reads no clock itself: the caller passes the wall-clock time in milliseconds since 1970. Timestamps strictly
/// increase, also when the wall clock is set back.
class hybrid_clock {
public:
    static constexpr std::chrono::milliseconds defaultMaxDrift { 60000 };

    explicit hybrid_clock(std::chrono::milliseconds maxDrift = defaultMaxDrift);

    /// Timestamp for a local event or a message about to be sent.
    hybrid_time next(std::uint64_t wallMilliseconds);

    /// Merges the timestamp of a received message, so that later local timestamps are greater than \a received.
    ///
    /// A timestamp more than the drift bound ahead of the local wall clock is not merged: the call returns
    /// result_code::ValueOutOfRange and leaves the clock unchanged.
    std::error_code receive(hybrid_time received, std::uint64_t wallMilliseconds);

    /// Last timestamp returned by next() or merged by receive().
    hybrid_time last() const { return m_last; }

private:
    std::uint64_t m_maxDriftMilliseconds;
    hybrid_time m_last;
};

}
