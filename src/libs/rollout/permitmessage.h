#pragma once

#include "replicalimit.h"

#include <variant>

namespace ragwortreach {

/// Asks the keeper of a limited replica for a permit to send it one request.
struct permit_ask {
    std::uint64_t number = 0;
    /// Limit as the asking daemon knows it; the keeper may not have learned it yet.
    replica_limit limit;
    /// Longest time that the request may wait for its turn.
    duration maxWait {};
    /// The daemon asks this keeper in place of one that does not answer.
    bool isStandIn = false;
};

/// Answers a permit_ask.
struct permit_reply {
    std::uint64_t number = 0;
    bool isGranted = false;
    /// Time until the request may be sent; if the permit was not granted, time until the next one is free.
    duration wait {};
};

using permit_message = std::variant<permit_ask, permit_reply>;

}
