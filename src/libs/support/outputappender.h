#pragma once

#include "boundedoutput.h"

#include <log4cxx/appenderskeleton.h>

namespace ragwortreach::Internal {

namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;

/// log4cxx appender that writes to a file descriptor without blocking on its reader.
class output_appender final : public log4cxx::AppenderSkeleton {
public:
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    output_appender(const log4cxx::LayoutPtr& layout, int descriptor);

    void close() override { m_output.flush(); }
    bool requiresLayout() const override { return true; }
    std::uint64_t linesLeftOut() const { return m_output.linesLeftOut(); }

protected:
    void append(const spi::LoggingEventPtr& event, helpers::Pool& pool) override;

private:
    log4cxx::LayoutPtr m_layout;
    bounded_output m_output;
};

}
