#include "outputappender.h"

#include <log4cxx/layout.h>

namespace ragwortreach::Internal {

output_appender::output_appender(const log4cxx::LayoutPtr& layout, int descriptor)
    : m_layout(layout)
    , m_output(descriptor)
{
}

void output_appender::append(const spi::LoggingEventPtr& event, helpers::Pool& pool)
{
    log4cxx::LogString line;
    m_layout->format(line, event, pool);
    m_output.write(line);
}

}
