#pragma once

#include "testclient.h"

#include <standins/standinset.h>

#include <string>
#include <thread>
#include <vector>

namespace ragwortreach::Tests {

/// Stand-ins of upstreams and of the platform within the test process, on free ports and served by a thread of their own.
class running_standins {
public:
    explicit running_standins(const nlohmann::json& servers)
        : m_servers(StandIns::startStandIns(m_context, { { "servers", servers } }))
    {
        for (const StandIns::standin_server_ptr& server : m_servers)
            m_addresses.push_back(server->address());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~running_standins()
    {
        m_context.stop();
        m_thread.join();
    }

    running_standins(const running_standins&) = delete;
    running_standins& operator=(const running_standins&) = delete;

    /// Address of a stand-in, by its index in the list of servers.
    const std::string& address(std::size_t index = 0) const { return m_addresses.at(index); }
    http_reply get(const std::string& target, std::size_t index = 0) const { return send(address(index), "GET", target); }
    http_reply post(const std::string& target, const nlohmann::json& body, std::size_t index = 0) const { return send(address(index), "POST", target, body); }
    /// Sets the faults of a stand-in; its next answers follow them.
    void injectFaults(const nlohmann::json& faults, std::size_t index = 0) const { post("/_standin/faults", faults, index); }
    nlohmann::json counters(std::size_t index = 0) const { return get("/_standin/counters", index).json(); }

private:
    boost::asio::io_context m_context;
    std::vector<StandIns::standin_server_ptr> m_servers;
    std::vector<std::string> m_addresses;
    std::thread m_thread;
};

}
