#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

using header_map = std::map<std::string, std::string>;

/// What came back on the connection of one request.
struct http_reply {
    /// 0 when no header arrived.
    int status = 0;
    /// False when the connection ended before the announced end of the body.
    bool isComplete = false;
    std::string body;
    header_map headers;
    /// Bytes after the end of the answer.
    std::string surplus;

    /// Body as JSON; an empty object when it is not JSON.
    nlohmann::json json() const;
    /// Data of the server-sent events but the closing "[DONE]".
    std::vector<nlohmann::json> events() const;
    bool isDone() const { return body.find("data: [DONE]") != std::string::npos; }
};

/// Sends one request on a connection of its own and reads the answer, for at most 60 seconds.
http_reply send(const std::string& address, const std::string& method, const std::string& target,
    const nlohmann::json& body = nullptr, const header_map& headers = {});

/// Repeats \a condition until it holds. False when it did not within 60 seconds.
bool waitUntil(const std::function<bool()>& condition);

}
