#pragma once

#include <core/instant.h>

#include <random>

namespace ragwortreach {

/// Pauses before a request to the log is sent again.
///
/// A fleet loses its answers at the same time, so a pause is random, between half of a bound and the bound. The bound doubles
/// with each further failure in a row.
class retry_pause {
public:
    /// Bounds of the first pause and of the longest one.
    retry_pause(duration first, duration longest);

    void noteFailure();
    /// Leads back to the first pause.
    void reset() { m_bound = {}; }
    /// Draws the next pause.
    duration next();

private:
    duration m_first;
    duration m_longest;
    /// Zero while there was no failure.
    duration m_bound {};
    std::minstd_rand m_random;
};

}
