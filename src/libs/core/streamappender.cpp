#include "streamappender.h"

#include "daemoncontext.h"

namespace ragwortreach::Internal {

stream_appender::stream_appender(std::string stream)
    : m_stream(std::move(stream))
{
}

void stream_appender::add(daemon_context& context, item added)
{
    m_waiting.push_back(std::move(added));
    flush(context);
}

std::vector<stream_appender::item> stream_appender::finishAppend(daemon_context& context, const append_ended& event)
{
    if (m_append == 0 || event.append != m_append)
        return {};
    m_append = 0;
    std::vector<item> ended = std::exchange(m_inFlight, {});
    flush(context);
    return ended;
}

void stream_appender::flush(daemon_context& context)
{
    if (m_append != 0 || m_waiting.empty())
        return;
    m_append = context.nextNumber();
    m_inFlight = std::exchange(m_waiting, {});
    append_stream effect { m_append, m_stream, {} };
    for (const item& waiting : m_inFlight)
        effect.records.push_back(waiting.record);
    context.emit(std::move(effect));
}

}
