#include "logline.h"

#include <nlohmann/json.hpp>

namespace ragwortreach {

namespace {

    std::string jsonText(const nlohmann::json& value)
    {
        return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }

    void appendMember(std::string& members, std::string_view name, const nlohmann::json& value)
    {
        if (!members.empty())
            members += ',';
        members += jsonText(name) + ':' + jsonText(value);
    }

}

log_line::log_line(log_level level, std::string_view event)
    : m_level(level)
    , m_event(event)
{
    appendMember(m_members, "event", event);
}

log_line& log_line::with(std::string_view name, std::string_view value)
{
    appendMember(m_members, name, value);
    return *this;
}

log_line& log_line::with(std::string_view name, bool value)
{
    appendMember(m_members, name, value);
    return *this;
}

log_line& log_line::with(std::string_view name, double value)
{
    appendMember(m_members, name, value);
    return *this;
}

log_line& log_line::withInteger(std::string_view name, std::int64_t value)
{
    appendMember(m_members, name, value);
    return *this;
}

}
