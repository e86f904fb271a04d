#include "loadanswer.h"

#include <core/jsonreader.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace ragwortreach {

namespace {

    constexpr int firstErrorStatus = 300;
    constexpr std::chrono::milliseconds maxRetryDelay { 5000 };

}

result_code answerCode(const http_outcome& outcome, const http_response& response)
{
    if (outcome.code != result_code::Ok || response.status < firstErrorStatus)
        return outcome.code;
    const nlohmann::json problem = parseJson(response.body);
    const bool hasCode = problem.is_object() && problem.contains("code") && problem["code"].is_number_integer() && problem["code"] != 0;
    return hasCode ? static_cast<result_code>(problem["code"].get<int>()) : result_code::Internal;
}

std::chrono::milliseconds retryDelay(const http_response& response, std::chrono::milliseconds minimum)
{
    const std::string text(headerValue(response.headers, "Retry-After").value_or("0"));
    const std::chrono::milliseconds requested(1000 * std::clamp<long>(std::strtol(text.c_str(), nullptr, 10), 0, 3600));
    return std::clamp(requested, minimum, maxRetryDelay);
}

}
