#include "http.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    bool isSame(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

    sockaddr_in socketAddress(const std::string& address)
    {
        sockaddr_in result {};
        const std::size_t colon = address.find(':');
        result.sin_family = AF_INET;
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        return result;
    }

    int bindFree(std::string& address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in local = socketAddress("127.0.0.1:0");
        socklen_t size = sizeof(local);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&local), size) != 0)
            throw std::runtime_error("no free port");
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        return descriptor;
    }

}

std::string http_message::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (isSame(key, name))
            return value;
    }
    return {};
}

std::string http_message::query(std::string_view name) const
{
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string::npos ? std::string_view() : std::string_view(target).substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            std::string decoded;
            const std::string_view value = pair.substr(equals + 1);
            for (std::size_t index = 0; index < value.size(); ++index) {
                if (value[index] != '%') {
                    decoded += value[index];
                    continue;
                }
                decoded += static_cast<char>(std::stoi(std::string(value.substr(index + 1, 2)), nullptr, 16));
                index += 2;
            }
            return decoded;
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void connection::reset()
{
    const linger now { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t read = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::fill(clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
    pollfd wanted { m_descriptor, POLLIN, 0 };
    if (left <= 0 || poll(&wanted, 1, static_cast<int>(std::min<long long>(left, 1000000))) <= 0)
        return false;
    std::array<char, 65536> bytes {};
    const ssize_t read = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (read <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(read));
    return true;
}

bool connection::readHead(http_message& message, clock::time_point deadline, bool isRequest)
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline))
            return false;
        end = m_buffer.find("\r\n\r\n");
    }
    std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    const std::string first = head.substr(0, head.find("\r\n"));
    head.erase(0, first.size() + 2);
    const std::size_t space = first.find(' ');
    if (isRequest) {
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    } else {
        message.status = std::stoi(first.substr(space + 1));
    }
    while (!head.empty()) {
        const std::string line = head.substr(0, head.find("\r\n"));
        head.erase(0, line.size() + 2);
        const std::size_t colon = line.find(':');
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    return true;
}

bool connection::readRequest(http_message& request)
{
    const clock::time_point deadline = clock::now() + std::chrono::minutes(10);
    request = {};
    if (!readHead(request, deadline, true))
        return false;
    const std::string length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!fill(deadline))
            return false;
    }
    request.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    request.isComplete = true;
    return true;
}

http_message connection::readResponse(clock::time_point deadline)
{
    http_message response;
    if (!readHead(response, deadline, false))
        return response;
    if (isSame(response.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t lineEnd = m_buffer.find("\r\n");
            while (lineEnd == std::string::npos) {
                if (!fill(deadline))
                    return response;
                lineEnd = m_buffer.find("\r\n");
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(deadline))
                    return response;
            }
            response.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = response.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return response;
        }
        response.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
    }
    response.isComplete = true;
    return response;
}

connection connectTo(const std::string& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(descriptor);
        return connection();
    }
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return connection(descriptor);
}

std::string requestText(const std::string& method, const std::string& target, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string responseText(int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_message call(const std::string& address, const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, milliseconds timeout)
{
    connection opened = connectTo(address);
    if (!opened.isOpen() || !opened.send(requestText(method, target, headers, body)))
        return {};
    return opened.readResponse(clock::now() + timeout);
}

server::server(handler onRequest)
    : m_onRequest(std::move(onRequest))
{
    m_descriptor = bindFree(m_address);
    listen(m_descriptor, 1024);
    std::thread([this, listening = m_descriptor] {
        while (true) {
            const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int one = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, accepted] {
                connection opened(accepted);
                http_message request;
                while (opened.isOpen() && opened.readRequest(request)) {
                    if (!m_onRequest(opened, request))
                        return;
                }
            }).detach();
        }
    }).detach();
}

void server::stopListening()
{
    shutdown(m_descriptor, SHUT_RDWR);
    ::close(m_descriptor);
}

std::vector<std::string> freeAddresses(std::size_t count)
{
    std::vector<connection> bound;
    std::vector<std::string> addresses(count);
    for (std::string& address : addresses)
        bound.emplace_back(bindFree(address));
    return addresses;
}

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t place = 0; place < 3; ++place)
            group = group << 8 | (index + place < bytes.size() ? static_cast<unsigned char>(bytes[index + place]) : 0U);
        for (std::size_t place = 0; place < 4; ++place)
            text += index + place > bytes.size() ? '=' : letters[group >> (18 - 6 * place) & 63];
    }
    return text;
}

}
