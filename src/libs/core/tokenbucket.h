#pragma once

#include "instant.h"

namespace ragwortreach {

/// Limits how often something may happen.
class token_bucket {
public:
    /// \a perSecond tokens are added each second, up to \a burst, which is at least 1.
    token_bucket(double perSecond, double burst);

    /// Takes one token if there is one at \a now. Time that goes back adds nothing.
    bool take(instant now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    instant m_refilledAt;
};

}
