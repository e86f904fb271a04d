#pragma once

#include "instant.h"

namespace ragwortreach {

/// Rate limiter with bursts (token bucket).
class token_bucket {
public:
    /// Adds \a perSecond tokens per second, up to \a burst tokens. The bucket starts full; a \a burst below 1 counts as 1.
    token_bucket(double perSecond, double burst);

    /// Removes one token and returns true; returns false when there is none at \a now. A \a now before that of an earlier
    /// call adds no tokens.
    bool take(instant now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    instant m_refilledAt;
};

}
