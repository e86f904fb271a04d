#pragma once

#include <core/instant.h>
#include <core/resultcode.h>
#include <net/httpmessage.h>

#include <string_view>

namespace ragwortreach {

/// Answer 503: the request has not run and never will. The caller may come back after \a retryAfter.
http_response refusalResponse(result_code code, std::string_view reason, duration retryAfter);

/// Answer with \a status that promises nothing about whether the request ran.
http_response failureResponse(int status, result_code code, std::string_view reason);

}
