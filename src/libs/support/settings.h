#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Addresses on which the daemon listens, as "ip:port" or "[ip]:port".
struct listen_settings {
    std::string caller;
    std::string admin;
    std::string gossip;
    std::string peer;
};

/// Addresses of the platform's services, as "ip:port" or "[ip]:port".
struct platform_settings {
    std::string log;
    std::string vmList;
    std::string weightStore;
};

/// Bounds on one request of a caller, in bytes.
struct request_limit_settings {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 8388608;
};

/// Phases of a graceful shutdown.
struct drain_settings {
    /// Time for which the daemon continues to serve after it reports unready.
    std::chrono::milliseconds unready { 3000 };
    /// Longest time to wait for streams in progress.
    std::chrono::milliseconds streamBound { 600000 };
};

/// Severity of a log line, in ascending order.
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
    /// Seed of the random numbers.
    std::uint64_t seed = 1;
};

/// Reads \a text, a JSON object that fits settingsSchema(), into \a settings.
///
/// On an error \a settings is unchanged and \a detail names the key, the value, what was expected and the remedy.
std::error_code loadSettings(std::string_view text, daemon_settings& settings, std::string& detail);

/// Like loadSettings() above, but first merges the JSON object \a overrides into \a text.
std::error_code loadSettings(std::string_view text, std::string_view overrides, daemon_settings& settings, std::string& detail);

}
