#include "standincontrols.h"

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    /// Bounds the memory of each counter table in long runs.
    constexpr std::size_t maxCountedKeys = 200'000;

    void incrementCounter(json& table, const std::string& name)
    {
        if (name.empty() || (table.size() >= maxCountedKeys && !table.contains(name)))
            return;
        table[name] = table.value(name, 0) + 1;
    }

    /// True for a positive number, any text, and true.
    bool isSwitchedOn(const json& value)
    {
        if (value.is_number())
            return value.get<double>() > 0;
        return value.is_string() || (value.is_boolean() && value.get<bool>());
    }

}

json standin_controls::value(const std::string& pointer) const
{
    const json::json_pointer path(pointer);
    return m_faults.contains(path) ? m_faults.at(path) : json();
}

bool standin_controls::isOn(const std::string& pointer) const
{
    return isSwitchedOn(value(pointer));
}

bool standin_controls::consume(const std::string& pointer)
{
    const json current = value(pointer);
    if (!isSwitchedOn(current))
        return false;
    if (current.is_number())
        m_faults[json::json_pointer(pointer)] = current.get<std::int64_t>() - 1;
    return true;
}

std::int64_t standin_controls::number(const std::string& pointer, std::int64_t fallback) const
{
    const json current = value(pointer);
    return current.is_number() ? current.get<std::int64_t>() : fallback;
}

bool standin_controls::refuseInOutage(const http_connection_ptr& connection, const std::string& pointer) const
{
    const json current = value(pointer);
    if (!isSwitchedOn(current))
        return false;
    if (current != "silent")
        connection->answer({ 503, { { "error", "outage" } } });
    return true;
}

std::uint64_t standin_controls::countExecution(const http_request& request, const std::string& requestId)
{
    incrementCounter(m_counters["paths"], requestPath(request));
    incrementCounter(m_counters["keys"], std::string(request["Idempotency-Key"]));
    incrementCounter(m_counters["requests"], requestId);
    const std::uint64_t executions = m_counters["executions"].get<std::uint64_t>() + 1;
    m_counters["executions"] = executions;
    return executions;
}

void standin_controls::count(const std::string& event)
{
    incrementCounter(m_counters["events"], event);
}

}
