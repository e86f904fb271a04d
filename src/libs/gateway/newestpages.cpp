#include "newestpages.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace ragwortreach {

namespace {

    /// Reads one page after another; keeps itself alive while a read is in flight.
    class page_reader : public std::enable_shared_from_this<page_reader> {
    public:
        page_reader(shared_log& log, topic_partition topicPartition, std::string prefix, std::function<void(newest_records)> onDone)
            : m_log(log)
            , m_topicPartition(std::move(topicPartition))
            , m_prefix(std::move(prefix))
            , m_onDone(std::move(onDone))
        {
        }

        void resume(newest_records previous)
        {
            m_result = std::move(previous);
            readAfter(std::max(m_result.lastKey, m_prefix));
        }

        void readAfter(const std::string& key)
        {
            m_log.readNewest(m_topicPartition, key, [self = shared_from_this()](const newest_outcome& page) { self->addPage(page); });
        }

    private:
        void addPage(const newest_outcome& page)
        {
            if (!page.isDone) {
                m_onDone(std::move(m_result));
                return;
            }
            if (!std::exchange(m_result.hasEnd, true))
                m_result.end = page.end;
            ++m_result.pages;
            std::string lastKey;
            for (const keyed_record& record : page.records) {
                m_result.bytes += record.bytes();
                lastKey = std::max(lastKey, record.key);
                if (record.key.starts_with(m_prefix))
                    m_result.records.push_back(record);
            }
            m_result.isDone = !page.hasMore || lastKey.empty() || !lastKey.starts_with(m_prefix);
            m_result.lastKey = lastKey;
            if (m_result.isDone)
                m_onDone(std::move(m_result));
            else
                readAfter(lastKey);
        }

        shared_log& m_log;
        topic_partition m_topicPartition;
        std::string m_prefix;
        std::function<void(newest_records)> m_onDone;
        newest_records m_result;
    };

}

std::span<keyed_record> sortByOffset(newest_records& newest)
{
    std::vector<keyed_record>& all = newest.records;
    std::sort(all.begin(), all.end(), [](const keyed_record& left, const keyed_record& right) { return left.offset < right.offset; });
    const auto isBefore = [](const keyed_record& record, std::uint64_t offset) { return record.offset < offset; };
    return { all.begin(), std::lower_bound(all.begin(), all.end(), newest.end, isBefore) };
}

void readNewestPages(shared_log& log, const topic_partition& topicPartition, const std::string& prefix, std::function<void(newest_records)> onDone)
{
    continueNewestPages(log, topicPartition, prefix, {}, std::move(onDone));
}

void continueNewestPages(shared_log& log, const topic_partition& topicPartition, const std::string& prefix, newest_records previous, std::function<void(newest_records)> onDone)
{
    std::make_shared<page_reader>(log, topicPartition, prefix, std::move(onDone))->resume(std::move(previous));
}

}
