#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace ragwortreach::Tests {

/// Bytes that each caller of a crowd sends.
struct crowd_load {
    const char* name;
    /// Sent once.
    std::string begin;
    /// Sent over and over after it, until \a bytes have been sent or the daemon takes no more.
    std::string repeated;
    std::size_t bytes = 0;
    /// Most that a caller sends in one round of sendLoad().
    std::size_t bytesPerRound = SIZE_MAX;
};

/// Callers that send the same load on a connection each and read nothing.
class caller_crowd {
public:
    /// Opens \a size connections to \a address ("ip:port"). \a load has to outlive the crowd.
    caller_crowd(const std::string& address, const crowd_load& load, std::size_t size);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    /// Lets every caller send as much as the daemon takes. Returns the number of bytes.
    std::size_t sendRound();

private:
    class caller;

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<caller>> m_callers;
};

/// Largest use of memory and descriptors that was measured of a process.
struct peak_use {
    std::size_t kilobytes = 0;
    std::size_t descriptors = 0;

    void measure(pid_t pid);
};

/// Resident memory of a process; 0 when it has ended.
std::size_t residentKilobytes(pid_t pid);

/// Most memory that a process has had resident since its start; 0 when it has ended.
std::size_t peakKilobytes(pid_t pid);

/// Sends the load until the daemon \a pid has taken it or takes no more of it, and measures the daemon meanwhile.
void sendLoad(caller_crowd& crowd, pid_t pid, peak_use& peak);

/// Sends \a request to \a address ("ip:port") on a new connection. Returns the status of the answer; 0 without an answer
/// within 20 s.
int statusOfRequest(const std::string& address, const std::string& request);

}
