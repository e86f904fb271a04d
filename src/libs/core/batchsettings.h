#pragma once

#include "catalogueentry.h"
#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

/// Settings of one batch at its owner, from the catalogue entry.
struct batch_settings {
    /// Largest staleness of delivered samples.
    staleness_bound bound;
    look_ahead lookAhead = look_ahead::Busy;
    /// Whether the entry names a scorer.
    bool scored = true;
    /// The seeds of the streams are derived from it.
    std::uint64_t seed = 1;
    /// Lower bound of the time at which the batch was opened: the start of the last read of the stream 'batches' that did
    /// not yet show the opening. No sample of the batch is older. Empty when this process started after the opening; the
    /// age of restored samples is then unknown, and a bound on age discards them.
    std::optional<instant> openedAfter;
};

}
