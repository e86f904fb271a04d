#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Small blocking HTTP/1.1 on loopback sockets, one thread per connection. It gives the stand-ins control over every
/// byte and over how a connection ends, and shares no code with the programs under review.
namespace review {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct http_message {
    /// Of a request.
    std::string method;
    std::string target;
    /// Of a response; 0 when none arrived.
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The message arrived with all of its body.
    bool isComplete = false;

    std::string header(std::string_view name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
    /// Value in the query, percent-decoded.
    std::string query(std::string_view name) const;
};

/// Connected socket that closes itself.
class connection {
public:
    explicit connection(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    connection(connection&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    connection& operator=(connection&&) = delete;
    ~connection();

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    /// False when the peer is gone.
    bool send(std::string_view bytes) const;
    /// Whether the peer has closed the connection, as far as it can be seen now.
    bool isClosedByPeer() const;
    bool readRequest(http_message& request);
    /// Reads one response; what arrived when the connection ends or \a deadline passes is in the result.
    http_message readResponse(clock::time_point deadline);
    /// Closes with a reset.
    void reset();
    void close();

private:
    bool fill(clock::time_point deadline);
    bool readHead(http_message& message, clock::time_point deadline, bool isRequest);

    int m_descriptor;
    std::string m_buffer;
};

/// Connects within a second; not open on failure.
connection connectTo(const std::string& address);

std::string requestText(const std::string& method, const std::string& target, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body);
std::string responseText(int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body);

/// Sends one request on a connection of its own.
http_message call(const std::string& address, const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, milliseconds timeout);

/// Listener on a free port of 127.0.0.1. \a onRequest returns whether the connection goes on. It lives until the
/// process ends.
class server {
public:
    using handler = std::function<bool(connection&, const http_message&)>;

    explicit server(handler onRequest);
    const std::string& address() const { return m_address; }
    /// Closes the listening socket; new connections are refused.
    void stopListening();

private:
    handler m_onRequest;
    int m_descriptor = -1;
    std::string m_address;
};

/// "127.0.0.1:port" with ports that are free now.
std::vector<std::string> freeAddresses(std::size_t count);

std::string encodeBase64(std::string_view bytes);

}
