#pragma once

#include "httpserver.h"
#include "standincontrols.h"

#include <nlohmann/json.hpp>

#include <string>

namespace ragwortreach::StandIns {

/// A plain service: runs any request and answers with the number of the run.
///
/// Faults: latency_ms (after the run), refuse_unrun (status 503 and "X-Upstream-Ran: no"),
/// die_before_run, die_before_answer (after the run), die_mid_body, answer_twice.
class service_standin {
public:
    service_standin(boost::asio::io_context& context, const nlohmann::json& settings);

    std::string address() const { return m_server.address(); }

private:
    void handle(const http_connection_ptr& connection);
    void answer(const http_connection_ptr& connection, const http_answer& answer);

    standin_controls m_controls;
    std::string m_service;
    http_server m_server;
};

}
