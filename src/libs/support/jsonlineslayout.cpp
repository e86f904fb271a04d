#include "jsonlineslayout.h"

#include <log4cxx/level.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <string_view>

namespace ragwortreach::Internal {

namespace {

    constexpr log4cxx::log4cxx_time_t microsecondsPerSecond = 1000000;

    /// ISO 8601 in UTC, with microseconds.
    std::string timeText(log4cxx::log4cxx_time_t microseconds)
    {
        const std::time_t seconds = microseconds / microsecondsPerSecond;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        std::array<char, 32> date {};
        std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
        std::array<char, 16> fraction {};
        std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(microseconds % microsecondsPerSecond));
        return std::string(date.data()) + fraction.data();
    }

    std::string_view levelName(const log4cxx::LevelPtr& level)
    {
        if (level->isGreaterOrEqual(log4cxx::Level::getError()))
            return "error";
        if (level->isGreaterOrEqual(log4cxx::Level::getWarn()))
            return "warning";
        if (level->isGreaterOrEqual(log4cxx::Level::getInfo()))
            return "info";
        return "debug";
    }

}

json_lines_layout::json_lines_layout(std::string_view vm)
    : m_vmMember("\"vm\":" + nlohmann::json(vm).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace))
{
}

void json_lines_layout::format(log4cxx::LogString& output, const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) const
{
    output += "{\"time\":\"" + timeText(event->getTimeStamp()) + "\",\"level\":\"";
    output += levelName(event->getLevel());
    output += "\"," + m_vmMember + ',' + event->getMessage() + "}\n";
}

}
