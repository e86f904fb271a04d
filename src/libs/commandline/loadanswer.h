#pragma once

#include <net/httpclient.h>
#include <net/httpmessage.h>

#include <chrono>

namespace ragwortreach {

/// Result code of a call: that of \a outcome when no complete answer arrived, that in the body for an error status, else
/// Ok. An error status whose body has no code gives Internal.
result_code answerCode(const http_outcome& outcome, const http_response& response);

/// Time to wait before a retry: that of the Retry-After header, at least \a minimum and at most 5 s.
std::chrono::milliseconds retryDelay(const http_response& response, std::chrono::milliseconds minimum);

}
