#include "callercrowd.h"

#include <net/endpoint.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include <poll.h>
#include <sys/socket.h>

using boost::asio::ip::tcp;

namespace ragwortreach::Tests {

namespace {

    constexpr std::size_t sendBytes = 16384;

    tcp::endpoint parsedAddress(const std::string& address)
    {
        const endpoint parsed = parseEndpoint(address).value_or(endpoint {});
        return { boost::asio::ip::make_address(parsed.host), parsed.port };
    }

    std::size_t openDescriptors(pid_t pid)
    {
        std::error_code error;
        std::size_t count = 0;
        for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", error), end; !error && it != end; it.increment(error))
            ++count;
        return count;
    }

    /// Value of the line \a name of the status of a process; 0 when it has ended.
    std::size_t statusKilobytes(pid_t pid, std::string_view name)
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string word;
        while (status >> word) {
            if (word != name)
                continue;
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
        return 0;
    }

}

class caller_crowd::caller {
public:
    caller(boost::asio::io_context& context, const tcp::endpoint& address, const crowd_load& load)
        : m_socket(context)
        , m_pending(load.begin)
        , m_load(load)
    {
        boost::system::error_code error;
        m_socket.connect(address, error);
        m_isOpen = !error;
    }

    std::size_t send()
    {
        std::size_t total = 0;
        while (m_isOpen && m_sent < m_load.bytes && total < m_load.bytesPerRound) {
            const std::size_t left = std::min(m_load.bytes - m_sent, m_load.bytesPerRound - total);
            while (m_pending.size() < std::min(sendBytes, left))
                m_pending += m_load.repeated;
            const ssize_t sent = ::send(m_socket.native_handle(), m_pending.data(), std::min(m_pending.size(), left), MSG_DONTWAIT | MSG_NOSIGNAL);
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
    const crowd_load& m_load;
    bool m_isOpen = false;
};

caller_crowd::caller_crowd(const std::string& address, const crowd_load& load, std::size_t size)
{
    const tcp::endpoint remote = parsedAddress(address);
    for (std::size_t number = 0; number < size; ++number)
        m_callers.push_back(std::make_unique<caller>(m_context, remote, load));
}

caller_crowd::~caller_crowd() = default;

std::size_t caller_crowd::sendRound()
{
    std::size_t sent = 0;
    for (const std::unique_ptr<caller>& caller : m_callers)
        sent += caller->send();
    return sent;
}

void peak_use::measure(pid_t pid)
{
    kilobytes = std::max(kilobytes, residentKilobytes(pid));
    descriptors = std::max(descriptors, openDescriptors(pid));
}

std::size_t residentKilobytes(pid_t pid)
{
    return statusKilobytes(pid, "VmRSS:");
}

std::size_t peakKilobytes(pid_t pid)
{
    return statusKilobytes(pid, "VmHWM:");
}

void sendLoad(caller_crowd& crowd, pid_t pid, peak_use& peak)
{
    constexpr int quietRounds = 10;
    for (int quiet = 0; quiet < quietRounds;) {
        quiet = crowd.sendRound() == 0 ? quiet + 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        peak.measure(pid);
    }
}

int statusOfRequest(const std::string& address, const std::string& request)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(parsedAddress(address), error);
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

}
