#pragma once

#include "httpconnection.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace ragwortreach::StandIns {

/// Switchable faults and counters of one stand-in.
///
/// Faults are named by JSON pointers ("/log/outage"). A fault that is a number counts down each time
/// it is taken; one that is true or a text lasts until it is switched off.
class standin_controls {
public:
    explicit standin_controls(const nlohmann::json& faults) { change(faults); }

    /// Merges \a faults into the faults in force.
    void change(const nlohmann::json& faults) { m_faults.merge_patch(faults); }
    const nlohmann::json& faults() const { return m_faults; }
    const nlohmann::json& counters() const { return m_counters; }

    /// True when the fault is on; a counted one is not used up.
    bool isOn(const std::string& pointer) const;
    /// True when the fault is on; a counted one is used up by one.
    bool take(const std::string& pointer);
    /// Number set for the fault, or \a fallback.
    std::int64_t number(const std::string& pointer, std::int64_t fallback = 0) const;
    std::chrono::milliseconds delay(const std::string& pointer) const { return std::chrono::milliseconds(number(pointer)); }
    /// Value set for the fault; null when there is none.
    nlohmann::json value(const std::string& pointer) const;

    /// During the outage \a pointer answers with status 503 or, for the value "silent", never.
    bool refuseInOutage(const http_connection_ptr& connection, const std::string& pointer) const;

    /// Counts one run of a request by its path, idempotency key and request id; returns the runs so far.
    std::uint64_t countExecution(const http_request& request, const std::string& requestId = "");
    void count(const std::string& event);

private:
    nlohmann::json m_faults = nlohmann::json::object();
    nlohmann::json m_counters = { { "executions", 0 }, { "paths", nlohmann::json::object() }, { "keys", nlohmann::json::object() },
        { "requests", nlohmann::json::object() }, { "events", nlohmann::json::object() } };
};

}
