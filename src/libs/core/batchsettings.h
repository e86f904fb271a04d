#pragma once

#include "catalogueentry.h"
#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

/// Settings of one batch at its owner, from the catalogue entry.
struct batch_settings {
    staleness_bound bound;
    look_ahead lookAhead = look_ahead::Busy;
    bool scored = true;
    /// Seeds of streams derive from it.
    std::uint64_t seed = 1;
    /// Point in time at which this process knew that the batch was not open yet: the start of the last read of the
    /// stream 'batches' that did not reach its opening. No sample of the batch is older. Empty when the process
    /// started later; the age of restored samples is then unknown, and a bound on age discards them.
    std::optional<instant> openedAfter;
};

}
