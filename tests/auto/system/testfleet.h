#pragma once

#include "daemonprocess.h"

#include <client/runningstandins.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// Index of each stand-in in running_standins.
enum standin_index : std::size_t {
    Platform,
    EngineOne,
    EngineTwo,
    Shop,
    Scorer,
};

/// Test fixture of daemons in one data centre, with stand-ins of the platform, two engines, one plain service and a
/// scorer.
class test_fleet {
public:
    /// Starts everything and waits until each daemon is ready. \a tokenTime is the time per token of the engines in
    /// milliseconds.
    explicit test_fleet(int daemons, int tokenTime = 1);
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    const running_standins& standins() const { return m_standins; }
    std::size_t size() const { return m_daemons.size(); }
    daemon_process& daemon(std::size_t index) const { return *m_daemons.at(index); }

    /// Sends a request to the caller port of the daemon \a index.
    http_reply call(std::size_t index, const std::string& method, const std::string& target, const nlohmann::json& body = nullptr, const header_map& headers = {}) const;
    /// Sends a request to the admin port of the daemon \a index.
    http_reply admin(std::size_t index, const std::string& method, const std::string& target, const nlohmann::json& body = nullptr) const;
    /// Creates a catalogue entry at the first daemon and waits until all daemons serve it.
    void putEntry(const std::string& entry, const nlohmann::json& body) const;

private:
    running_standins m_standins;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
};

/// Catalogue entry of the plain service, of the model for customers, and of the model for training.
nlohmann::json shopEntry(bool isIdempotent);
nlohmann::json assistantEntry();
nlohmann::json rolloutsEntry();

}
