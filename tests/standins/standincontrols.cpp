#include "standincontrols.h"

#include <utility>

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::size_t maxCountedNames = 200'000;

    void countName(json& table, const std::string& name)
    {
        if (name.empty() || (table.size() >= maxCountedNames && !table.contains(name)))
            return;
        table[name] = table.value(name, 0) + 1;
    }

    bool isOnValue(const json& value)
    {
        if (value.is_number())
            return value.get<double>() > 0;
        return value.is_string() || (value.is_boolean() && value.get<bool>());
    }

}

standin_controls::standin_controls(json faults)
    : m_faults(faults.is_object() ? std::move(faults) : json::object())
    , m_counters({ { "executions", 0 }, { "paths", json::object() }, { "keys", json::object() },
          { "requests", json::object() }, { "events", json::object() } })
{
}

bool standin_controls::handle(const http_connection_ptr& connection)
{
    const http_request& request = connection->request();
    if (request.path == "/_standin/counters" && request.method == "GET") {
        connection->answer({ 200, m_counters });
        return true;
    }
    if (request.path != "/_standin/faults")
        return false;
    if (request.method == "POST")
        m_faults.merge_patch(request.json());
    connection->answer({ 200, m_faults });
    if (request.method == "POST" && m_onChange)
        m_onChange();
    return true;
}

json standin_controls::value(const std::string& pointer) const
{
    const json::json_pointer path(pointer);
    return m_faults.contains(path) ? m_faults.at(path) : json();
}

bool standin_controls::isOn(const std::string& pointer) const
{
    return isOnValue(value(pointer));
}

bool standin_controls::take(const std::string& pointer)
{
    const json current = value(pointer);
    if (!isOnValue(current))
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

std::chrono::milliseconds standin_controls::delay(const std::string& pointer) const
{
    return std::chrono::milliseconds(number(pointer));
}

void standin_controls::clear(const std::string& pointer)
{
    m_faults[json::json_pointer(pointer)] = nullptr;
}

bool standin_controls::handleOutage(const http_connection_ptr& connection, const std::string& pointer) const
{
    const json current = value(pointer);
    if (!isOnValue(current))
        return false;
    if (current != "silent")
        connection->answer({ 503, { { "error", "outage" } } });
    return true;
}

std::uint64_t standin_controls::countExecution(const http_request& request, const std::string& requestId)
{
    countName(m_counters["paths"], request.path);
    countName(m_counters["keys"], request.header("idempotency-key"));
    countName(m_counters["requests"], requestId);
    const std::uint64_t executions = m_counters["executions"].get<std::uint64_t>() + 1;
    m_counters["executions"] = executions;
    return executions;
}

void standin_controls::count(const std::string& counter)
{
    countName(m_counters["events"], counter);
}

}
