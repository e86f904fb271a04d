#include "platformfleet.h"

#include <client/testclient.h>
#include <net/endpoint.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

using namespace ragwortreach;
using namespace ragwortreach::Tests;
using boost::asio::ip::tcp;

// Guards against callers outside anyone's control that make a daemon use up its memory or its file descriptors.

namespace {

constexpr std::size_t crowd = 400;
constexpr std::size_t maxGrowthKilobytes = std::size_t { 16 } * 1024;
constexpr std::size_t descriptorLimit = 256;

struct load_case {
    const char* name;
    /// Sent once.
    std::string begin;
    /// Sent over and over after it, until \a bytes have been sent or the daemon takes no more.
    std::string repeated;
    std::size_t bytes = 0;
};

const std::string chunkedHead = "POST /score/1 HTTP/1.1\r\nHost: lace.example\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t headBytes = std::size_t { 60 } * 1024;
constexpr std::size_t endlessBytes = std::size_t { 256 } * 1024;

const load_case loads[] = {
    { "heads of 60 KB that never end", "GET / HTTP/1.1\r\nHost: lace.example\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", headBytes },
    { "head with one line that never ends", "GET / HTTP/1.1\r\nHost: lace.example\r\nX-Filler: ", std::string(500, 'f'), headBytes },
    { "heads of 15 KB that never end", "GET / HTTP/1.1\r\nHost: lace.example\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", std::size_t { 15 } * 1024 },
    { "empty lines before a request", "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", endlessBytes },
    { "chunk size line without end", chunkedHead, "0000000000000000", endlessBytes },
    { "chunk extension without end", chunkedHead + "5;", "extension=" + std::string(500, 'e') + ";", endlessBytes },
    { "trailer without end", chunkedHead + "5\r\nlinen\r\n0\r\n", "X-Filler: " + std::string(500, 'f') + "\r\n", endlessBytes },
    { "connections without a byte", "", "", 0 },
    { "pipelined requests whose answers nobody reads", "", "GET /metrics HTTP/1.1\r\nHost: lace.example\r\n\r\n", std::size_t { 1024 } * 1024 },
};

/// A port of the daemon, and the target of an ordinary request to it.
struct port_case {
    const char* setting;
    const char* target;
};

const port_case ports[] = { { "caller", "/score/1" }, { "readiness", "/api/readyz" }, { "metrics", "/metrics" }, { "peer", "/score/1" } };

/// Resident memory of a process; 0 when it has ended.
std::size_t residentKilobytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word != "VmRSS:")
            continue;
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes;
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", error), end; !error && it != end; it.increment(error))
        ++count;
    return count;
}

/// Connection of the crowd that sends the bytes of a load and reads nothing.
class abusive_caller {
public:
    abusive_caller(boost::asio::io_context& context, const tcp::endpoint& address, const load_case& load)
        : m_socket(context)
        , m_pending(load.begin)
        , m_load(load)
    {
        boost::system::error_code error;
        m_socket.connect(address, error);
        m_isOpen = !error;
    }

    /// Sends as much as the daemon takes. Returns the number of bytes.
    std::size_t send()
    {
        std::size_t total = 0;
        while (m_isOpen && m_sent < m_load.bytes) {
            while (m_pending.size() < std::min<std::size_t>(16384, m_load.bytes - m_sent))
                m_pending += m_load.repeated;
            const ssize_t sent = ::send(m_socket.native_handle(), m_pending.data(), m_pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0) {
                m_isOpen = errno == EAGAIN || errno == EWOULDBLOCK;
                break;
            }
            m_pending.erase(0, static_cast<std::size_t>(sent));
            m_sent += static_cast<std::size_t>(sent);
            total += static_cast<std::size_t>(sent);
        }
        return total;
    }

private:
    tcp::socket m_socket;
    std::string m_pending;
    std::size_t m_sent = 0;
    const load_case& m_load;
    bool m_isOpen = false;
};

struct peak_use {
    std::size_t kilobytes = 0;
    std::size_t descriptors = 0;

    void measure(pid_t pid)
    {
        kilobytes = std::max(kilobytes, residentKilobytes(pid));
        descriptors = std::max(descriptors, openDescriptors(pid));
    }
};

/// Sends the load on all connections until the daemon has taken it or takes no more of it.
void sendLoad(std::vector<std::unique_ptr<abusive_caller>>& callers, pid_t pid, peak_use& peak)
{
    constexpr int quietRounds = 10;
    for (int quiet = 0; quiet < quietRounds;) {
        std::size_t sent = 0;
        for (const std::unique_ptr<abusive_caller>& caller : callers)
            sent += caller->send();
        quiet = sent == 0 ? quiet + 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        peak.measure(pid);
    }
}

/// Sends one ordinary request on a new connection. Returns its status; 0 without an answer within 20 s.
int statusOf(const std::string& address, const std::string& target)
{
    const std::optional<endpoint> parsed = parseEndpoint(address);
    REQUIRE(parsed);
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(parsed->host), parsed->port }, error);
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: lace.example\r\nRequest-Id: ordinary\r\nDeadline-Ms: 10000\r\n\r\n";
    ::send(socket.native_handle(), request.data(), request.size(), MSG_NOSIGNAL);
    constexpr int giveUpMilliseconds = 20000;
    pollfd poll { socket.native_handle(), POLLIN, 0 };
    std::string answer(64, '\0');
    if (::poll(&poll, 1, giveUpMilliseconds) <= 0)
        return 0;
    const ssize_t read = ::recv(socket.native_handle(), answer.data(), answer.size(), 0);
    constexpr std::size_t statusBegin = 9;
    constexpr std::size_t statusDigits = 3;
    return read < static_cast<ssize_t>(statusBegin + statusDigits) ? 0 : std::stoi(answer.substr(statusBegin, statusDigits));
}

void limitDescriptors(pid_t pid)
{
    const rlimit limit { descriptorLimit, descriptorLimit };
    REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
}

/// Opens the connections of the crowd to \a address.
std::vector<std::unique_ptr<abusive_caller>> openCrowd(boost::asio::io_context& context, const std::string& address, const load_case& load)
{
    const std::optional<endpoint> parsed = parseEndpoint(address);
    REQUIRE(parsed);
    const tcp::endpoint remote { boost::asio::ip::make_address(parsed->host), parsed->port };
    std::vector<std::unique_ptr<abusive_caller>> callers;
    for (std::size_t number = 0; number < crowd; ++number)
        callers.push_back(std::make_unique<abusive_caller>(context, remote, load));
    return callers;
}

/// Checks that ordinary requests to the port at \a address and to the caller port are answered.
void checkAnswered(const platform_fleet& fleet, const std::string& address, const std::string& target)
{
    CHECK(statusOf(address, target) == 200);
    CHECK(statusOf(fleet.caller(0), "/score/1") == 200);
}

/// Sends \a load to \a port and checks what has to hold meanwhile and afterwards. \a areDescriptorsFew: the process may
/// open no more than descriptorLimit.
void check(const load_case& load, const port_case& port, bool areDescriptorsFew)
{
    platform_fleet fleet(1);
    const pid_t pid = fleet.daemon(0).pid();
    REQUIRE(statusOf(fleet.caller(0), "/score/1") == 200);
    if (areDescriptorsFew)
        limitDescriptors(pid);
    const std::string address = fleet.address(0, port.setting);
    const std::size_t before = residentKilobytes(pid);
    peak_use peak;
    boost::asio::io_context context;
    std::vector<std::unique_ptr<abusive_caller>> callers = openCrowd(context, address, load);
    sendLoad(callers, pid, peak);
    checkAnswered(fleet, address, port.target);
    peak.measure(pid);
    CHECK(residentKilobytes(pid) > 0);
    CHECK(peak.kilobytes < before + maxGrowthKilobytes);
    if (areDescriptorsFew)
        CHECK(peak.descriptors < descriptorLimit);
}

}

TEST_CASE("A crowd that ignores limits uses up neither the memory of a daemon nor the answers for others")
{
    for (const load_case& load : loads) {
        for (const port_case& port : ports) {
            DYNAMIC_SECTION(load.name << " at the port " << port.setting)
            {
                check(load, port, false);
            }
        }
    }
}

TEST_CASE("A crowd that ignores limits leaves file descriptors for others")
{
    for (const load_case& load : loads) {
        for (const port_case& port : ports) {
            DYNAMIC_SECTION(load.name << " at the port " << port.setting)
            {
                check(load, port, true);
            }
        }
    }
}
