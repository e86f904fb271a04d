#include "errorresponses.h"

#include <platform/requestcodec.h>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace ragwortreach {

namespace {

    constexpr int refusalStatus = 503;

    http_response problem(int status, result_code code, std::string_view reason)
    {
        const nlohmann::json body { { "status", status }, { "code", static_cast<int>(code) }, { "title", resultCodeInfo(code).name }, { "detail", reason } };
        return { status, { { "Content-Type", "application/problem+json" } },
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    }

}

http_response refusalResponse(result_code code, std::string_view reason, duration retryAfter)
{
    http_response response = problem(refusalStatus, code, reason);
    std::array<char, 32> seconds {};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", std::chrono::duration<double>(retryAfter).count());
    response.headers.push_back({ std::string(platform::retryAfterHeader), seconds.data() });
    return response;
}

http_response failureResponse(result_code code, std::string_view reason)
{
    return problem(resultCodeInfo(code).httpStatus, code, reason);
}

http_response failureResponse(int status, result_code code, std::string_view reason)
{
    return problem(status, code, reason);
}

}
