#pragma once

#include <log4cxx/layout.h>

#include <string>

namespace ragwortreach::Internal {

namespace helpers = log4cxx::helpers;

/// Layout that writes each event as one JSON object on a line of its own.
///
/// The message of the event is the text of log_line::members(); time, level and VM are written before it.
class json_lines_layout final : public log4cxx::Layout {
public:
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(log4cxx::Layout)
    LOG4CXX_CAST_ENTRY(log4cxx::spi::OptionHandler)
    END_LOG4CXX_CAST_MAP()

    explicit json_lines_layout(std::string_view vm);

    void format(log4cxx::LogString& output, const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) const override;
    bool ignoresThrowable() const override { return true; }
    void activateOptions(log4cxx::helpers::Pool&) override { }
    void setOption(const log4cxx::LogString&, const log4cxx::LogString&) override { }

private:
    /// JSON text of the member "vm".
    std::string m_vmMember;
};

}
