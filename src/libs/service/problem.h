#pragma once

#include <core/resultcode.h>
#include <net/httpmessage.h>

#include <chrono>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Error answer of type application/problem+json (RFC 9457) for \a code.
///
/// It contains the number of the code and whether the call ran, and has the header Retry-After when \a retryAfter is above
/// zero. An empty \a detail is replaced by the text of the code.
http_response problemResponse(result_code code, std::string_view detail, std::string_view requestId,
    std::chrono::seconds retryAfter = {});

/// Answer of type application/json; a line end is appended to \a body.
http_response jsonResponse(int status, std::string body);

}
