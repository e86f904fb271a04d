#pragma once

#include "commandenvironment.h"

#include <chrono>
#include <span>
#include <vector>

namespace ragwortreach {

/// Sends all requests concurrently, each on a new connection, and blocks until each has a complete answer, has failed or has
/// reached \a timeout.
///
/// The replies are in the order of the requests.
std::vector<http_reply> exchangeBlocking(std::span<const addressed_request> requests, std::chrono::milliseconds timeout);

}
