#pragma once

#include "commandenvironment.h"

#include <chrono>
#include <string>

namespace ragwortreach {

/// Sends \a request to \a address ("ip:port") and waits until the answer is whole, broken or \a timeout has passed.
http_reply exchangeNow(const std::string& address, const http_request& request, std::chrono::milliseconds timeout);

}
