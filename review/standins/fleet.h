#pragma once

#include "store.h"

#include <nlohmann/json_fwd.hpp>

#include <sys/types.h>

namespace review {

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Daemons of the deploy file on loopback addresses, one for each address of the store. Their settings are those of the
/// settings template, filled for a small deployment. All daemons end with this object.
class fleet {
public:
    fleet(store& platform, std::size_t daemons);
    ~fleet();

    void start(std::size_t daemon);
    void signal(std::size_t daemon, int number) const;
    /// Waits until the daemon's process has ended.
    void awaitEnd(std::size_t daemon, milliseconds longest);
    bool isRunning(std::size_t daemon);
    const std::string& caller(std::size_t daemon) const { return m_daemons[daemon].caller; }
    /// Asks the daemon for its readiness, as the platform does.
    bool isReady(std::size_t daemon) const;
    bool awaitReady(std::size_t daemon, milliseconds longest) const;
    /// Resident memory of the daemon's process.
    std::size_t memoryBytes(std::size_t daemon) const;
    /// What the daemon has written to its standard output.
    std::string output(std::size_t daemon) const;

private:
    struct daemon_state {
        std::string vm;
        std::string caller;
        std::string readiness;
        std::string settings;
        pid_t process = 0;
    };

    std::string m_folder;
    std::vector<daemon_state> m_daemons;
};

/// Route of the configuration.
nlohmann::json route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs);
nlohmann::json engineService(const std::string& name, const std::vector<std::string>& models, int slots);
nlohmann::json plainService(const std::string& name);
/// Writes the configuration as the operator; returns when the store has acknowledged it.
void configure(store& platform, int version, const nlohmann::json& routes, const nlohmann::json& services);

inline const std::string host = "ficu95.example";

}
