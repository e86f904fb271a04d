#pragma once

#include <core/instant.h>

namespace ragwortreach {

/// Pauses after calls that the platform did not carry out, which double up to a bound.
///
/// Only one daemon at a time makes these calls, so the pauses are not random as those of retry_pause are.
class duty_pause {
public:
    bool isOver(instant now) const { return now >= m_until; }
    void noteFailure(instant now);
    /// Leads back to the first pause; one that has begun goes on.
    void reset() { m_length = {}; }

private:
    /// Zero while there was no failure.
    duration m_length {};
    instant m_until {};
};

}
