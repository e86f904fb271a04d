#include <service/daemonhost.h>
#include <support/flagparser.h>
#include <support/log.h>
#include <support/settings.h>
#include <support/settingsflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <span>
#include <sstream>

DECLARE_bool(help);
DEFINE_string(settings, "", "JSON file with the settings of the daemon");

namespace {

using namespace ragwortreach;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitListen = 3;

int fail(int exitCode, const std::string& detail)
{
    std::cerr << "ragwortreachd: " << detail << std::endl;
    return exitCode;
}

void awaitSignal(boost::asio::signal_set& signals, daemon_host& host)
{
    signals.async_wait([&signals, &host](const boost::system::error_code& error, int) {
        if (error)
            return;
        host.drain();
        awaitSignal(signals, host);
    });
}

int run(const daemon_settings& settings)
{
    log daemonLog(settings.log, settings.vm);
    if (daemonLog.error())
        return fail(exitUsage, "The log file " + settings.log.file + " cannot be opened; check that its folder exists and can be written.");
    boost::asio::io_context context(1);
    daemon_host host(context, settings, daemonLog);
    std::string detail;
    if (host.open(detail))
        return fail(exitListen, detail);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    awaitSignal(signals, host);
    context.run();
    return 0;
}

int start(std::span<const char* const> arguments)
{
    std::vector<std::string> words;
    std::string detail;
    if (parseFlags(arguments, words, detail))
        return fail(exitUsage, detail);
    if (FLAGS_help) {
        std::cout << "Usage: ragwortreachd --settings FILE [FLAGS]\n\nThe flags override the settings of the file:\n"
                  << flagsText();
        return 0;
    }
    if (!words.empty())
        return fail(exitUsage, "The word " + words.front() + " is not a flag; write flags as --name=value.");
    std::ifstream file(FLAGS_settings);
    if (!file)
        return fail(exitUsage, "The settings file '" + FLAGS_settings + "' cannot be read; name it with --settings.");
    std::stringstream text;
    text << file.rdbuf();
    daemon_settings settings;
    if (loadSettings(text.str(), settingsFlagsAsJson(), settings, detail))
        return fail(exitUsage, detail);
    return run(settings);
}

}

int main(int argc, char** argv)
{
    try {
        std::signal(SIGPIPE, SIG_IGN);
        const std::vector<const char*> arguments(argv, argv + argc);
        return start(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "ragwortreachd: The daemon stopped: %s\n", error.what());
        return exitFailure;
    }
}
