#pragma once

#include "httpconnection.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace ragwortreach::StandIns {

/// Switchable faults and counters of one stand-in.
///
/// Faults are named by JSON pointers ("/log/outage"). A number is either a parameter, read with number() or
/// delay(), or a count, which consume() lowers by one and which is off at 0. A fault whose value is true or a text stays
/// on until it is switched off.
class standin_controls {
public:
    explicit standin_controls(const nlohmann::json& faults) { change(faults); }

    /// Merges \a faults into the current faults (JSON merge patch).
    void change(const nlohmann::json& faults) { m_faults.merge_patch(faults); }
    const nlohmann::json& faults() const { return m_faults; }
    const nlohmann::json& counters() const { return m_counters; }

    /// True when the fault is on. Leaves a counted fault unchanged.
    bool isOn(const std::string& pointer) const;
    /// True when the fault is on. Lowers a counted fault by one.
    bool consume(const std::string& pointer);
    /// Number set for the fault, or \a fallback.
    std::int64_t number(const std::string& pointer, std::int64_t fallback = 0) const;
    std::chrono::milliseconds delay(const std::string& pointer) const { return std::chrono::milliseconds(number(pointer)); }
    /// Value set for the fault; null when there is none.
    nlohmann::json value(const std::string& pointer) const;

    /// Returns whether the outage \a pointer is on. If so, the request is answered with status 503 or, for the value
    /// "silent", left without an answer.
    bool refuseInOutage(const http_connection_ptr& connection, const std::string& pointer) const;

    /// Counts one execution of a request, in total and by path, idempotency key and request id. Returns the total
    /// number of executions.
    std::uint64_t countExecution(const http_request& request, const std::string& requestId = "");
    /// Counts one occurrence of \a event.
    void count(const std::string& event);

private:
    nlohmann::json m_faults = nlohmann::json::object();
    nlohmann::json m_counters = { { "executions", 0 }, { "paths", nlohmann::json::object() }, { "keys", nlohmann::json::object() },
        { "requests", nlohmann::json::object() }, { "events", nlohmann::json::object() } };
};

}
