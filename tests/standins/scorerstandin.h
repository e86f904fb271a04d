#pragma once

#include "httpserver.h"
#include "standincontrols.h"

#include <nlohmann/json.hpp>

#include <string>

namespace ragwortreach::StandIns {

/// Scores samples. The reward is a hash of the tokens in [0, 1).
///
/// Faults: latency_ms, twice_latency (doubles it), never (no answer), answer_twice, outage.
class scorer_standin {
public:
    scorer_standin(boost::asio::io_context& context, const nlohmann::json& settings);

    std::string address() const { return m_server.address(); }

private:
    void handle(const http_connection_ptr& connection);

    standin_controls m_controls;
    http_server m_server;
};

}
