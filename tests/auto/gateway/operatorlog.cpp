#include "operatorlog.h"

#include <algorithm>
#include <string>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration callTime = std::chrono::milliseconds(4);
    /// Reads wait no longer than this for a record.
    constexpr duration longestWait = std::chrono::milliseconds(50);
    /// Age of what stale answers show.
    constexpr duration staleAge = std::chrono::seconds(6);
    constexpr const char* configurationKey = "config";

}

operator_log::operator_log(virtual_time& time)
    : m_time(time)
{
}

void operator_log::write(std::uint64_t version)
{
    m_writtenAt.push_back(m_time.now());
    m_versions.push_back(version);
}

keyed_record operator_log::recordAt(std::uint64_t offset) const
{
    return { configurationKey, std::to_string(m_versions[offset]), offset };
}

operator_log::client::client(operator_log& log)
    : m_log(log)
{
}

std::uint64_t operator_log::client::visibleEnd() const
{
    const std::vector<instant>& writtenAt = m_log.m_writtenAt;
    if (m_access != log_access::Stale)
        return writtenAt.size();
    const instant limit = m_log.m_time.now() - staleAge;
    return static_cast<std::uint64_t>(std::upper_bound(writtenAt.begin(), writtenAt.end(), limit) - writtenAt.begin());
}

void operator_log::client::append(const topic_partition&, const append_identity&, std::span<const keyed_record>,
    std::function<void(const append_outcome&)> onDone)
{
    m_log.m_time.callAfter(callTime, [whenDone = std::move(onDone)] { whenDone({ append_status::Refused }); });
}

read_outcome operator_log::client::answer(const read_range& range) const
{
    if (range.from < m_log.m_firstRetained)
        return { read_status::Expired, {}, 0, m_log.m_firstRetained };
    read_outcome outcome { read_status::Done, {}, visibleEnd() };
    for (std::uint64_t offset = range.from; offset < outcome.end; ++offset)
        outcome.records.push_back(m_log.recordAt(offset));
    return outcome;
}

void operator_log::client::read(const topic_partition&, const read_range& range, read_handlers handlers)
{
    if (m_access == log_access::Refusing) {
        m_log.m_time.callAfter(callTime, [whenDone = std::move(handlers.onDone)] { whenDone({ read_status::Refused, {} }); });
        return;
    }
    if (m_access == log_access::Silent) {
        m_log.m_time.callAfter(range.wait + range.slack, [whenDone = std::move(handlers.onDone)] { whenDone({}); });
        return;
    }
    const bool mayWait = range.from >= visibleEnd();
    const duration time = callTime + (mayWait ? std::min(range.wait, longestWait) : duration::zero());
    m_log.m_time.callAfter(time, [this, range, whenDone = std::move(handlers.onDone)] { whenDone(answer(range)); });
}

void operator_log::client::readNewest(const topic_partition&, const newest_range&, std::function<void(const newest_outcome&)> onDone)
{
    if (m_access == log_access::Refusing) {
        m_log.m_time.callAfter(callTime, [whenDone = std::move(onDone)] { whenDone({ false, true, {} }); });
        return;
    }
    if (m_access == log_access::Silent) {
        m_log.m_time.callAfter(longestAnswerTime, [whenDone = std::move(onDone)] { whenDone({}); });
        return;
    }
    m_log.m_time.callAfter(callTime, [this, whenDone = std::move(onDone)] {
        newest_outcome page { true, false, {}, false, visibleEnd() };
        if (page.end > 0)
            page.records.push_back(m_log.recordAt(page.end - 1));
        whenDone(page);
    });
}

}
