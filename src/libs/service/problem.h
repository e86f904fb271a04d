#pragma once

#include <core/resultcode.h>
#include <net/httpmessage.h>

#include <chrono>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Answer of type application/problem+json (RFC 9457) for \a code.
///
/// It carries the number of the code, whether the call ran, and Retry-After when \a retryAfter is not zero.
http_response problemResponse(result_code code, std::string_view detail, std::string_view requestId,
    std::chrono::seconds retryAfter = {});

/// Answer of type application/json.
http_response jsonResponse(int status, std::string body);

}
