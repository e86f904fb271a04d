#pragma once

#include "commandenvironment.h"

#include <chrono>
#include <span>
#include <vector>

namespace ragwortreach {

/// Sends all requests at once and waits until each answer is whole, broken or \a timeout has passed.
///
/// The replies come in the order of the requests.
std::vector<http_reply> exchangeNow(std::span<const addressed_request> requests, std::chrono::milliseconds timeout);

}
