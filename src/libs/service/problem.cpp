#include "problem.h"

#include <nlohmann/json.hpp>

namespace ragwortreach {

http_response problemResponse(result_code code, std::string_view detail, std::string_view requestId,
    std::chrono::seconds retryAfter)
{
    const result_code_info& info = resultCodeInfo(code);
    const nlohmann::json body {
        { "type", "about:blank" },
        { "title", info.name },
        { "status", info.httpStatus },
        { "detail", detail.empty() ? info.text : detail },
        { "code", static_cast<int>(code) },
        { "run", toString(info.run) },
        { "request", requestId },
    };
    http_response response;
    response.status = info.httpStatus;
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    if (retryAfter.count() > 0)
        response.headers.push_back({ "Retry-After", std::to_string(retryAfter.count()) });
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

http_response jsonResponse(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = std::move(body);
    response.body += '\n';
    return response;
}

}
