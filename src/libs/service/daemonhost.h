#pragma once

#include <memory>
#include <string>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

class log;
struct daemon_settings;

/// Process of one daemon: the core with its servers and clients. Must be used on the thread of the io_context only.
class daemon_host {
public:
    daemon_host(boost::asio::io_context& context, const daemon_settings& settings, log& log);
    ~daemon_host();
    daemon_host(const daemon_host&) = delete;
    daemon_host& operator=(const daemon_host&) = delete;

    /// Opens all sockets and starts the daemon. On an error, \a detail names the address and the reason.
    std::error_code open(std::string& detail);

    /// Starts a graceful shutdown, at whose end the io_context is stopped. Further calls have no effect.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
