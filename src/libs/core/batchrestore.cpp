#include "batchrestore.h"

#include "batchrecord.h"
#include "daemoncontext.h"

#include <algorithm>

namespace ragwortreach::Internal {

batch_restore::batch_restore(const std::string& batch, std::optional<batch_spec> spec)
    : m_tail(batchStream(batch))
    , m_spec(std::move(spec))
{
}

void batch_restore::tick(daemon_context& context)
{
    if (!isDone())
        m_tail.read(context, m_position);
}

bool batch_restore::handle(daemon_context& context, const log_read_ended& event)
{
    if (!m_tail.finishRead(context, event))
        return false;
    if (event.code == result_code::LogTruncated)
        m_position = std::max(m_position, event.page.firstRetained);
    for (const log_record& record : event.page.records) {
        m_position = std::max(m_position, record.offset + 1);
        restored_record restored { record.id, record.data };
        if (!m_spec)
            m_spec = parseSpecRecord(restored);
        m_records.push_back(std::move(restored));
    }
    tick(context);
    return true;
}

std::string batchStream(std::string_view batch)
{
    return "batch-" + std::string(batch);
}

}
