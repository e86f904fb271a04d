#pragma once

#include <memory>
#include <string>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace ragwortreach {

class log;
struct gateway_settings;

/// Daemon that runs on the users' platform. Owns its servers and clients and the components that run calls, batches and
/// weight load orders, and connects them. Single-threaded.
class gateway_host {
public:
    gateway_host(boost::asio::io_context& context, const gateway_settings& settings, log& log);
    ~gateway_host();
    gateway_host(const gateway_host&) = delete;
    gateway_host& operator=(const gateway_host&) = delete;

    /// Opens all listening sockets and starts to work. On an error \a detail names the address and the remedy.
    std::error_code open(std::string& detail);

    /// Begins a graceful shutdown; the io_context is stopped at its end. Further calls change nothing.
    void drain();

    /// Applies the settings that may change while the daemon runs: times and shares. Addresses and partitions take effect
    /// at the next start.
    void reload(const gateway_settings& settings);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
