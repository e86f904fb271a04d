#include "batchindextail.h"

#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

namespace {

    constexpr duration retryDelay = std::chrono::milliseconds(500);
    constexpr std::size_t maxOpenedAfter = 4096;

}

batch_index_tail::batch_index_tail()
    : m_tail("batches")
    , m_appender("batches")
{
}

void batch_index_tail::tick(daemon_context& context)
{
    m_readStart = context.now;
    m_tail.read(context, m_position);
    if (m_failedAppends.empty() || context.now < m_nextRetry)
        return;
    const std::vector<log_append> failed = std::exchange(m_failedAppends, {});
    for (const log_append& record : failed)
        m_appender.add(context, { 0, record });
}

void batch_index_tail::append(daemon_context& context, const batch_index_record& record)
{
    m_appender.add(context, { 0, { context.nextRecordId(), toJson(record) } });
}

bool batch_index_tail::handle(daemon_context& context, const log_read_ended& event)
{
    if (!m_tail.finishRead(context, event))
        return false;
    if (event.code == result_code::LogUnavailable)
        return true;
    if (event.code == result_code::LogTruncated)
        m_position = std::max(m_position, event.page.firstRetained);
    for (const log_record& record : event.page.records) {
        if (record.offset < m_position)
            continue;
        m_position = record.offset + 1;
        rememberOpening(record.data);
        m_table.apply(record.data);
    }
    if (m_tail.isCaughtUp())
        m_lastReadStart = m_readStart;
    m_readStart = context.now;
    m_tail.read(context, m_position);
    return true;
}

void batch_index_tail::rememberOpening(const std::string& data)
{
    if (!m_lastReadStart)
        return;
    const std::optional<batch_index_record> record = parseBatchIndexRecord(data);
    if (!record || record->state != batch_state::Opened || m_table.find(record->batch))
        return;
    if (m_openedAfter.size() >= maxOpenedAfter)
        m_openedAfter.erase(m_openedAfter.begin());
    m_openedAfter.emplace(record->batch, *m_lastReadStart);
}

bool batch_index_tail::handle(daemon_context& context, const append_ended& event)
{
    const std::vector<stream_appender::item> ended = m_appender.finishAppend(context, event);
    if (ended.empty())
        return false;
    if (event.code == result_code::Ok)
        return true;
    m_nextRetry = context.now + retryDelay;
    for (const stream_appender::item& item : ended)
        m_failedAppends.push_back(item.record);
    return true;
}

std::optional<instant> batch_index_tail::openedAfter(const std::string& batch) const
{
    const auto it = m_openedAfter.find(batch);
    if (it == m_openedAfter.end())
        return std::nullopt;
    return it->second;
}

}
