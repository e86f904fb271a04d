#pragma once

#include <core/instant.h>
#include <core/resultcode.h>
#include <net/httpmessage.h>

#include <string_view>

namespace ragwortreach {

/// Response 503 for a request that has not run and never will. The caller may retry after \a retryAfter, which is sent
/// as the header Retry-After.
http_response refusalResponse(result_code code, std::string_view reason, duration retryAfter);

/// Response with the status of \a code.
http_response failureResponse(result_code code, std::string_view reason);

/// Response with \a status that leaves open whether the request ran.
http_response failureResponse(int status, result_code code, std::string_view reason);

}
