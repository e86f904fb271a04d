#pragma once

#include <core/sharedtext.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

struct http_header {
    std::string name;
    std::string value;
};

/// HTTP request with its complete body, which copies of the request share.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    shared_text body;
};

/// Status and headers of a response.
struct http_response_head {
    int status = 200;
    std::vector<http_header> headers;
    /// Absent for a chunked body.
    std::optional<std::uint64_t> contentLength;
};

/// HTTP response with its complete body.
struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/// Whether \a status says that the request succeeded (2xx).
constexpr bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// Compares header names without regard to case.
bool isSameHeader(std::string_view left, std::string_view right);

/// Value of the first header called \a name, compared without regard to case.
std::optional<std::string_view> headerValue(std::span<const http_header> headers, std::string_view name);

/// What keeps \a request from being sent, or empty: a line break, blank or control character that would change what the
/// peer reads, an empty name, or a head of more than \a maxHeadBytes.
std::string_view unsendablePart(const http_request& request, std::size_t maxHeadBytes);

/// True for headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

/// Path of \a target, without the query.
std::string_view targetPath(std::string_view target);

/// Value of the parameter \a name in the query of \a target.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

}
