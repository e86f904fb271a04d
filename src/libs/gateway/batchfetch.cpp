#include "batchfetch.h"

#include "bootclock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration minRetryPause = std::chrono::milliseconds(100);
    constexpr duration maxRetryPause = std::chrono::milliseconds(300);

}

batch_fetch::batch_fetch(shared_log& log, topic_partition topicPartition, std::string prefix, std::function<void()> onDone)
    : m_log(log)
    , m_topicPartition(std::move(topicPartition))
    , m_prefix(std::move(prefix))
    , m_onDone(std::move(onDone))
    , m_random(std::random_device {}())
{
}

void batch_fetch::read(instant now)
{
    m_requestedAt = now;
    if (m_isReading || now < m_notBefore)
        return;
    m_isReading = true;
    continueNewestPages(m_log, { m_topicPartition, m_prefix }, std::exchange(m_newest, {}), [self = weak_from_this()](newest_records newest) {
        const std::shared_ptr<batch_fetch> fetch = self.lock();
        if (fetch)
            fetch->onRead(std::move(newest));
    });
}

void batch_fetch::onRead(newest_records newest)
{
    m_isReading = false;
    m_newest = std::move(newest);
    if (m_newest.isDone) {
        m_onDone();
        return;
    }
    std::uniform_int_distribution<duration::rep> pause(minRetryPause.count(), maxRetryPause.count());
    m_notBefore = bootNow() + duration(pause(m_random));
}

std::vector<keyed_record> batch_fetch::takeRecords()
{
    const std::span<keyed_record> paged = sortByOffset(m_newest);
    std::vector<keyed_record> records(std::make_move_iterator(paged.begin()), std::make_move_iterator(paged.end()));
    std::copy_if(m_tail.begin(), m_tail.end(), std::back_inserter(records), [this](const keyed_record& record) { return record.offset >= m_newest.end; });
    return records;
}

}
