#pragma once

#include "httpserver.h"
#include "ratelimit.h"
#include "standincontrols.h"
#include "streamstore.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace ragwortreach::StandIns {

/// The platform's log, VM list and weight store on one port.
///
/// Faults:
/// - /log: latency_ms, outage, lose_reply_after_write (count), appends_per_second, retention_records,
///   gap {"stream","first","last"} (these records are missing from reads).
/// - /vm_list: lag_ms, outage, older_revision (serves the list so many changes back).
/// - /weight_store: rate_per_second (loads), outage, latency_ms.
///
/// An outage is true (status 503) or "silent" (no answer).
class platform_standin {
public:
    platform_standin(boost::asio::io_context& context, const nlohmann::json& settings);

    std::string address() const { return m_server.address(); }

private:
    struct waiting_read {
        http_connection_ptr connection;
        std::string stream;
        std::uint64_t from = 0;
        std::size_t max = 0;
    };
    struct vm_list_change {
        std::chrono::steady_clock::time_point time;
        nlohmann::json list;
    };

    void handle(const http_connection_ptr& connection);
    void handleStream(const http_connection_ptr& connection, const std::string& stream);
    void append(const http_connection_ptr& connection, const std::string& stream);
    void read(const http_connection_ptr& connection, const std::string& stream);
    void answerRead(const waiting_read& wait);
    void finishReads(const std::string& stream);
    void faultsChanged();
    offset_range gap(const std::string& stream) const;

    void setVms(nlohmann::json list);
    void handleVms(const http_connection_ptr& connection);
    void handleModel(const http_connection_ptr& connection, const std::string& model, const std::string& action);

    void answer(const http_connection_ptr& connection, std::chrono::milliseconds delay, http_answer answer);

    standin_controls m_controls;
    stream_store m_streams;
    std::map<std::uint64_t, waiting_read> m_waits;
    std::uint64_t m_nextWait = 0;
    std::deque<vm_list_change> m_vmLists;
    std::uint64_t m_vmRevision = 0;
    nlohmann::json m_models;
    rate_limit m_appendRate;
    rate_limit m_loadRate;
    http_server m_server;
};

}
