#pragma once

#include <net/httpclient.h>
#include <net/httpmessage.h>

#include <chrono>

namespace ragwortreach {

/// Result code of an answer: that of the outcome when the call broke, that of the problem for an error status, else Ok.
result_code answerCode(const http_outcome& outcome, const http_response& response);

/// Time from Retry-After, between \a least and a few seconds.
std::chrono::milliseconds retryTime(const http_response& response, std::chrono::milliseconds least);

}
