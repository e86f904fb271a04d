#pragma once

#include <nlohmann/json.hpp>

#include <string>

#include <sys/types.h>

namespace ragwortreach::Tests {

/// One ragwortreachd process. The destructor kills it; it is also killed when the test process dies.
class daemon_process {
public:
    /// Writes \a settings to a file in \a folder and starts the daemon with it. The program is taken from the build
    /// directory in RAGWORTREACH_BUILD_DIR, or from the current directory, unless \a otherProgram names its path.
    daemon_process(const std::string& folder, const nlohmann::json& settings, const std::string& otherProgram = {});
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    /// Address of the port that the settings list under "listen" as \a purpose.
    std::string address(const std::string& purpose) const { return m_settings["listen"][purpose]; }
    std::string vm() const { return m_settings["vm"]; }
    /// True until wait() or killAndWait() has been called.
    bool isRunning() const { return m_pid > 0; }
    /// Id of the process; 0 when it does not run.
    pid_t pid() const { return m_pid; }
    /// Sends \a signal to the process without waiting for its end.
    void signal(int signal) const;
    /// Waits for the end of the process. Returns its exit code, or -1 when a signal ended it.
    int wait();
    void killAndWait();

private:
    nlohmann::json m_settings;
    pid_t m_pid = 0;
};

}
