#pragma once

#include <nlohmann/json.hpp>

#include <string>

#include <sys/types.h>

namespace ragwortreach::Tests {

/// One running ragwortreachd. Killed when the object goes.
class daemon_process {
public:
    /// Writes \a settings into \a folder and starts the daemon with them.
    daemon_process(const std::string& folder, const nlohmann::json& settings);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    std::string address(const std::string& purpose) const { return m_settings["listen"][purpose]; }
    std::string vm() const { return m_settings["vm"]; }
    bool isRunning() const { return m_pid > 0; }
    /// Sends \a signal without waiting.
    void signal(int signal) const;
    /// Waits for the end of the process; returns its exit code, or -1 when a signal ended it.
    int wait();
    void killAndWait();

private:
    nlohmann::json m_settings;
    pid_t m_pid = 0;
};

}
