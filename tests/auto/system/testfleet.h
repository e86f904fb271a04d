#pragma once

#include "daemonprocess.h"

#include <client/runningstandins.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// Stand-ins of one data centre, in the order of their addresses.
enum fleet_member : std::size_t {
    Platform,
    EngineOne,
    EngineTwo,
    Shop,
    Scorer,
};

/// Daemons of one data centre before two engines, one plain service and a scorer.
class test_fleet {
public:
    /// Starts everything and waits until each daemon is ready. \a tokenTime in milliseconds.
    explicit test_fleet(int daemons, int tokenTime = 1);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    const running_standins& standins() const { return m_standins; }
    std::size_t size() const { return m_daemons.size(); }
    daemon_process& daemon(std::size_t index) const { return *m_daemons.at(index); }

    /// Sends to the caller port of a daemon.
    http_reply call(std::size_t index, const std::string& method, const std::string& target, const nlohmann::json& body = nullptr, const header_map& headers = {}) const;
    /// Sends to the admin port of a daemon.
    http_reply admin(std::size_t index, const std::string& method, const std::string& target, const nlohmann::json& body = nullptr) const;
    /// Puts a new entry at one daemon and waits until all serve it.
    void putEntry(const std::string& entry, const nlohmann::json& body) const;

private:
    running_standins m_standins;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
};

/// Bodies of catalogue entries.
nlohmann::json shopEntry(bool isIdempotent);
nlohmann::json assistantEntry();
nlohmann::json rolloutsEntry();

}
