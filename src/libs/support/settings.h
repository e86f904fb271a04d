#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// IP number and port on which a daemon listens or which it calls.
struct socket_address {
    /// IPv4 or IPv6 number, without brackets.
    std::string host;
    std::uint16_t port = 0;

    /// "127.0.0.1:8080" or "[::1]:8080".
    std::string toString() const;

    bool operator==(const socket_address&) const = default;
};

/// Addresses on which the daemon listens.
struct listen_settings {
    socket_address caller;
    socket_address admin;
    socket_address gossip;
    socket_address peer;
};

/// Addresses of the platform's services.
struct platform_settings {
    socket_address log;
    socket_address vmList;
    socket_address weightStore;
};

/// Bounds on one request of a caller, in bytes.
struct request_limit_settings {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8388608;
};

/// Phases of a graceful shutdown.
struct drain_settings {
    /// Time to serve on after the daemon reports unready.
    std::chrono::milliseconds unready { 3000 };
    /// Longest time to wait for streams under way.
    std::chrono::milliseconds streamBound { 600000 };
};

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Name of \a level as it is written in settings and log lines.
std::string_view toString(log_level level);

/// Where log lines go and which of them are written.
struct log_settings {
    /// Path of the log file; standard output when empty.
    std::string file;
    log_level level = log_level::Info;
};

/// Settings of one daemon.
struct daemon_settings {
    std::string vm;
    std::string dataCentre;
    std::string region;
    listen_settings listen;
    platform_settings platform;
    request_limit_settings limits;
    drain_settings drain;
    log_settings log;
    std::uint64_t seed = 1;
};

/// Reads \a text, a JSON object that fits settingsSchema(), into \a settings.
///
/// On an error \a settings stays as it is and \a detail becomes a sentence that names the key, the value, what was
/// expected and the remedy.
std::error_code loadSettings(std::string_view text, daemon_settings& settings, std::string& detail);

/// Like loadSettings() above, with the values of the JSON object \a overrides laid over those of \a text first.
std::error_code loadSettings(std::string_view text, std::string_view overrides, daemon_settings& settings, std::string& detail);

/// Parses "ip:port" or "[ip]:port". Returns result_code::SettingsOutOfRange when \a text is no such address.
std::error_code parseSocketAddress(std::string_view text, socket_address& address);

}
