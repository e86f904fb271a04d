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

/// One daemon on the users' platform: its servers, its clients and the decisions between them. One thread only.
class gateway_host {
public:
    gateway_host(boost::asio::io_context& context, const gateway_settings& settings, log& log);
    ~gateway_host();
    gateway_host(const gateway_host&) = delete;
    gateway_host& operator=(const gateway_host&) = delete;

    /// Opens all sockets and starts to work. On an error \a detail names the address and the remedy.
    std::error_code open(std::string& detail);

    /// Begins a graceful shutdown; the io_context is stopped at its end. Further calls change nothing.
    void drain();

    /// Takes the settings that may change while the daemon runs: times and shares. Addresses and partitions wait for
    /// the next start.
    void reload(const gateway_settings& settings);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
