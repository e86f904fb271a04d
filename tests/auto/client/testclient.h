#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

using header_map = std::map<std::string, std::string>;

/// Answer to one request, complete or not.
struct http_reply {
    /// 0 when no header arrived.
    int status = 0;
    /// False when the connection ended before the announced end of the body.
    bool isComplete = false;
    std::string body;
    header_map headers;
    /// Bytes after the end of the answer.
    std::string trailingBytes;

    /// Body as JSON; an empty object when it is not JSON.
    nlohmann::json json() const;
    /// Data of the server-sent events that are JSON objects, that is without the final "[DONE]".
    std::vector<nlohmann::json> events() const;
    /// Whether the stream contains its final event.
    bool isDone() const { return body.find("data: [DONE]") != std::string::npos; }
};

/// Sends one request on a connection of its own and reads the answer, for at most 60 seconds.
http_reply send(const std::string& address, const std::string& method, const std::string& target,
    const nlohmann::json& body = nullptr, const header_map& headers = {});

/// Polls \a condition until it holds. Returns false if it did not hold within 60 seconds, or until \a deadline.
bool waitUntil(const std::function<bool()>& condition);
bool waitUntil(const std::function<bool()>& condition, std::chrono::steady_clock::time_point deadline);

}
