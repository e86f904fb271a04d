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

/// One daemon: its servers, its clients and the core that decides for them. One thread only.
class daemon_host {
public:
    daemon_host(boost::asio::io_context& context, const daemon_settings& settings, log& log);
    ~daemon_host();
    daemon_host(const daemon_host&) = delete;
    daemon_host& operator=(const daemon_host&) = delete;

    /// Opens all sockets and starts to work. On an error \a detail names the address and the remedy.
    std::error_code open(std::string& detail);

    /// Begins a graceful shutdown; the io_context runs out of work at its end. Further calls change nothing.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
