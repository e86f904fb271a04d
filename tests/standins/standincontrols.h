#pragma once

#include "httpconnection.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace ragwortreach::StandIns {

/// Switchable faults and counters of one stand-in, and the routes under /_standin that reach them.
///
/// Faults are named by JSON pointers ("/log/outage"). A fault that is a number counts down each time
/// it is taken; one that is true lasts until it is switched off.
class standin_controls {
public:
    explicit standin_controls(nlohmann::json faults);

    /// Answers the routes under /_standin. False for any other request.
    bool handle(const http_connection_ptr& connection);
    /// Called after each change of the faults.
    void setOnChange(std::function<void()> action) { m_onChange = std::move(action); }

    /// True when the fault is on; a counted one is not used up.
    bool isOn(const std::string& pointer) const;
    /// True when the fault is on; a counted one is used up by one.
    bool take(const std::string& pointer);
    /// Number set for the fault, or \a fallback.
    std::int64_t number(const std::string& pointer, std::int64_t fallback = 0) const;
    std::chrono::milliseconds delay(const std::string& pointer) const;
    /// Value set for the fault; null when there is none.
    nlohmann::json value(const std::string& pointer) const;
    void clear(const std::string& pointer);

    /// Answers with status 503 or, for the value "silent", never. False when \a pointer is not on.
    bool handleOutage(const http_connection_ptr& connection, const std::string& pointer) const;

    /// Counts one run of a request by its path, idempotency key and request id; returns the runs so far.
    std::uint64_t countExecution(const http_request& request, const std::string& requestId);
    void count(const std::string& counter);

private:
    nlohmann::json m_faults;
    nlohmann::json m_counters;
    std::function<void()> m_onChange;
};

}
