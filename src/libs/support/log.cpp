#include "log.h"

#include "jsonlineslayout.h"
#include "lineratelimiter.h"
#include "logline.h"
#include "outputappender.h"

#include <core/resultcode.h>

#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>

#include <atomic>
#include <fstream>

#include <unistd.h>

namespace ragwortreach {

namespace {

    log4cxx::LevelPtr toLevel(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return log4cxx::Level::getDebug();
        case log_level::Info:
            return log4cxx::Level::getInfo();
        case log_level::Warning:
            return log4cxx::Level::getWarn();
        case log_level::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getError();
    }

    /// Checked before the appender is created, because log4cxx reports a file that it cannot open only on standard error.
    bool isWritable(const std::string& path)
    {
        return std::ofstream(path, std::ios::app).is_open();
    }

    std::string nextLoggerName()
    {
        static std::atomic<unsigned> count { 0 };
        return "ragwortreach." + std::to_string(++count);
    }

}

struct log::log_data {
    log4cxx::LoggerPtr logger;
    line_rate_limiter limiter;
    std::error_code error;
};

log::log(const log_settings& settings, std::string_view vm)
    : m_data(std::make_unique<log_data>())
{
    m_data->logger = log4cxx::Logger::getLogger(nextLoggerName());
    m_data->logger->setAdditivity(false);
    m_data->logger->setLevel(toLevel(settings.level));
    const log4cxx::LayoutPtr layout = std::make_shared<Internal::json_lines_layout>(vm);
    if (settings.file.empty())
        m_data->logger->addAppender(std::make_shared<Internal::output_appender>(layout, STDOUT_FILENO));
    else if (isWritable(settings.file))
        m_data->logger->addAppender(std::make_shared<log4cxx::FileAppender>(layout, settings.file, true));
    else
        m_data->error = result_code::SettingsOutOfRange;
}

log::~log()
{
    m_data->logger->removeAllAppenders();
}

std::error_code log::error() const
{
    return m_data->error;
}

void log::write(const log_line& line)
{
    const log4cxx::LevelPtr level = toLevel(line.level());
    if (!m_data->logger->isEnabledFor(level))
        return;
    if (!m_data->limiter.tryTake(line.event(), std::chrono::steady_clock::now()))
        return;
    const std::uint64_t leftOut = m_data->limiter.takeLeftOutCount(line.event());
    if (leftOut == 0)
        m_data->logger->forcedLog(level, line.members());
    else
        m_data->logger->forcedLog(level, line.members() + ",\"left_out\":" + std::to_string(leftOut));
}

}
