#include "httpmessage.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace ragwortreach {

namespace {

    constexpr std::array<std::string_view, 9> hopByHopHeaders {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade"
    };

    bool isControl(char byte)
    {
        const unsigned char value = static_cast<unsigned char>(byte);
        return value < 0x20 || value == 0x7f;
    }

    bool isToken(std::string_view text)
    {
        constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
        return !text.empty() && std::none_of(text.begin(), text.end(), [&separators](char byte) {
            return isControl(byte) || byte == ' ' || static_cast<unsigned char>(byte) > 0x7f || separators.find(byte) != std::string_view::npos;
        });
    }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (!isEscape) {
                decoded += text[i] == '+' ? ' ' : text[i];
                continue;
            }
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        }
        return decoded;
    }

}

bool isSameHeader(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({ left.data(), left.size() }, { right.data(), right.size() });
}

std::optional<std::string_view> headerValue(std::span<const http_header> headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(),
        [name](const http_header& header) { return isSameHeader(header.name, name); });
    if (it == headers.end())
        return std::nullopt;
    return it->value;
}

std::string_view unsendablePart(const http_request& request, std::size_t maxHeadBytes)
{
    const auto isControlOrBlank = [](char byte) { return isControl(byte) || byte == ' '; };
    if (request.target.empty() || std::any_of(request.target.begin(), request.target.end(), isControlOrBlank))
        return "the path is empty or has a blank or a control character";
    std::size_t bytes = request.method.size() + request.target.size();
    for (const http_header& header : request.headers) {
        if (!isToken(header.name))
            return "the name of a header is no token";
        if (std::any_of(header.value.begin(), header.value.end(), [](char byte) { return isControl(byte) && byte != '\t'; }))
            return "the value of a header has a line break or another control character";
        constexpr std::size_t separatorBytes = 4;
        bytes += header.name.size() + header.value.size() + separatorBytes;
    }
    return bytes > maxHeadBytes ? "the path and the headers together are too large" : std::string_view();
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
        [name](std::string_view header) { return isSameHeader(header, name); });
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecoded(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return std::nullopt;
}

}
