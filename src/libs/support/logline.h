#pragma once

#include "settings.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

/// One line of the log: a level, the name of the event and typed fields.
///
/// Field names are chosen by the program; values may hold any bytes and are escaped.
class log_line {
public:
    log_line(log_level level, std::string_view event);

    log_line& with(std::string_view name, std::string_view value);
    log_line& with(std::string_view name, const char* value) { return with(name, std::string_view(value)); }
    log_line& with(std::string_view name, bool value);
    log_line& with(std::string_view name, double value);
    template <std::integral integer>
    log_line& with(std::string_view name, integer value)
    {
        return withInteger(name, static_cast<std::int64_t>(value));
    }

    log_level level() const { return m_level; }
    const std::string& event() const { return m_event; }

    /// Event and fields as members of a JSON object, without the braces.
    const std::string& members() const { return m_members; }

private:
    log_line& withInteger(std::string_view name, std::int64_t value);

    log_level m_level;
    std::string m_event;
    std::string m_members;
};

}
