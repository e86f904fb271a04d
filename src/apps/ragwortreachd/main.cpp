#include <gateway/gatewayhost.h>
#include <gateway/gatewaysettings.h>
#include <service/daemonhost.h>
#include <support/flagparser.h>
#include <support/log.h>
#include <support/logline.h>
#include <support/settings.h>
#include <support/settingsflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <span>
#include <sstream>

#include <malloc.h>

DECLARE_bool(help);
DEFINE_string(settings, "", "JSON file with the settings of the daemon");

namespace {

using namespace ragwortreach;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitListenFailed = 3;

/// Writes \a detail to the error stream and returns \a exitCode.
int fail(int exitCode, const std::string& detail)
{
    std::cerr << "ragwortreachd: " << detail << std::endl;
    return exitCode;
}

/// Has memory of large blocks given back to the system when it is freed. By itself the allocator keeps blocks of the size of
/// the largest one so far, such as the body of a batch.
void limitKeptMemory()
{
    constexpr int largeBlockBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Waits for signals until \a signals is cancelled: calls \a onStop for each SIGTERM or SIGINT and \a onReload for each SIGHUP.
void awaitSignal(boost::asio::signal_set& signals, const std::function<void()>& onStop, const std::function<void()>& onReload)
{
    signals.async_wait([&signals, onStop, onReload](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            onReload();
        else
            onStop();
        awaitSignal(signals, onStop, onReload);
    });
}

/// Runs a daemon of the fleet until it has drained; SIGHUP does not reload its settings. Returns the exit code.
int run(const daemon_settings& settings)
{
    ragwortreach::log daemonLog(settings.log, settings.vm);
    if (daemonLog.error())
        return fail(exitUsage, "The log file " + settings.log.file + " cannot be opened; check that its folder exists and can be written.");
    boost::asio::io_context context(1);
    daemon_host host(context, settings, daemonLog);
    std::string detail;
    if (host.open(detail))
        return fail(exitListenFailed, detail);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    awaitSignal(
        signals, [&host] { host.drain(); }, [&daemonLog] { daemonLog.write(log_line(log_level::Info, "reload_ignored")); });
    context.run();
    return 0;
}

/// Reads the settings file again and applies it. On an error, logs the reason and keeps the settings in force.
void reload(gateway_host& host, ragwortreach::log& gatewayLog)
{
    gateway_settings settings;
    std::string detail;
    const std::optional<std::string> text = readFile(FLAGS_settings);
    if (!text || loadGatewaySettings(*text, settings, detail)) {
        gatewayLog.write(log_line(log_level::Error, "reload_failed").with("file", FLAGS_settings).with("reason", detail));
        return;
    }
    host.reload(settings);
}

/// Modification time of the settings file.
std::filesystem::file_time_type settingsModificationTime()
{
    std::error_code ignored;
    // On an error the time is the minimum, which counts as a change.
    return std::filesystem::last_write_time(FLAGS_settings, ignored);
}

/// Calls \a onChange whenever the modification time of the settings file differs from \a lastModified, since the
/// platform may replace the file without a signal.
void watchSettings(boost::asio::steady_timer& timer, std::filesystem::file_time_type lastModified, const std::function<void()>& onChange)
{
    constexpr std::chrono::seconds interval { 1 };
    timer.expires_after(interval);
    timer.async_wait([&timer, lastModified, onChange](const boost::system::error_code& error) {
        if (error)
            return;
        const std::filesystem::file_time_type modified = settingsModificationTime();
        if (modified != lastModified)
            onChange();
        watchSettings(timer, modified, onChange);
    });
}

/// Runs a gateway until it has drained; SIGHUP or a changed settings file reloads its settings. Returns the exit code.
int runGateway(const std::string& text)
{
    gateway_settings settings;
    std::string detail;
    if (loadGatewaySettings(text, settings, detail))
        return fail(exitUsage, detail);
    ragwortreach::log gatewayLog(settings.log, settings.vm);
    boost::asio::io_context context(1);
    gateway_host host(context, settings, gatewayLog);
    if (host.open(detail))
        return fail(exitListenFailed, detail);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    awaitSignal(
        signals, [&host] { host.drain(); }, [&host, &gatewayLog] { reload(host, gatewayLog); });
    boost::asio::steady_timer timer(context);
    watchSettings(timer, settingsModificationTime(), [&host, &gatewayLog] { reload(host, gatewayLog); });
    context.run();
    return 0;
}

/// Parses the flags and the settings file and runs the daemon or the gateway that they describe. Returns the exit code.
int start(std::span<const char* const> arguments)
{
    std::vector<std::string> positionalArguments;
    std::string detail;
    if (parseFlags(arguments, positionalArguments, detail))
        return fail(exitUsage, detail);
    if (FLAGS_help) {
        std::cout << "Usage: ragwortreachd --settings FILE [FLAGS]\n\nThe flags override the settings of the file:\n"
                  << flagsText();
        return 0;
    }
    if (!positionalArguments.empty())
        return fail(exitUsage, "The argument " + positionalArguments.front() + " is not a flag; write flags as --name=value.");
    const std::optional<std::string> text = readFile(FLAGS_settings);
    if (!text)
        return fail(exitUsage, "The settings file '" + FLAGS_settings + "' cannot be read; name it with --settings.");
    if (isGatewaySettings(*text))
        return runGateway(*text);
    daemon_settings settings;
    if (loadSettings(*text, settingsFlagsAsJson(), settings, detail))
        return fail(exitUsage, detail);
    return run(settings);
}

}

int main(int argc, char** argv)
{
    try {
        limitKeptMemory();
        std::signal(SIGPIPE, SIG_IGN);
        const std::vector<const char*> arguments(argv, argv + argc);
        return start(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ragwortreachd: The daemon stopped: %s\n", error.what());
        return exitFailure;
    }
}
