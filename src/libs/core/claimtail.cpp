#include "claimtail.h"

#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

claim_tail::claim_tail()
    : m_tail("claims")
{
}

void claim_tail::tick(daemon_context& context)
{
    m_tail.read(context, m_table.position());
}

bool claim_tail::handle(daemon_context& context, const log_read_ended& event)
{
    if (!m_tail.finishRead(context, event))
        return false;
    if (event.code == result_code::LogUnavailable)
        return true;
    if (!m_isStarted) {
        start(event.page);
    } else if (event.code == result_code::LogTruncated) {
        m_table.skipTo(event.page.firstRetained);
    }
    for (const log_record& record : event.page.records)
        m_table.apply(record);
    m_tail.read(context, m_table.position());
    return true;
}

void claim_tail::start(const log_page& page)
{
    m_isStarted = true;
    const std::uint64_t wanted = m_table.startOffset(page.end);
    m_table.startAt(std::max(wanted, page.firstRetained), page.firstRetained >= wanted);
}

}
