#include "newestpages.h"

#include "bootclock.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace ragwortreach {

namespace {

    /// Time after which a page is overdue; each further one is twice as long.
    constexpr duration overdueTime = std::chrono::seconds(1);
    constexpr std::size_t maxOverdueRequests = 2;

    /// Reads one page after another; keeps itself alive while a read is in flight.
    class page_reader : public std::enable_shared_from_this<page_reader> {
    public:
        page_reader(shared_log& log, newest_query query, std::function<void(newest_records)> onDone)
            : m_log(log)
            , m_query(std::move(query))
            , m_onDone(std::move(onDone))
        {
        }

        /// Makes the reader request overdue pages again.
        void repeatOverdue(boost::asio::io_context& context) { m_overdueTimer.emplace(context); }

        void resume(newest_records previous)
        {
            m_result = std::move(previous);
            readAfter(std::max(m_result.lastKey, m_query.prefix));
        }

    private:
        void readAfter(std::string key)
        {
            m_afterKey = std::move(key);
            request(true);
            awaitAnswer(overdueTime);
        }

        /// Only the first request for a page may use an open connection.
        void request(bool isFirst)
        {
            m_log.readNewest(m_query.topicPartition, { m_afterKey, m_query.maxRecordBytes, isFirst },
                [self = shared_from_this(), page = m_page, isFirst, sentAt = bootNow()](const newest_outcome& outcome) { self->onAnswer(page, isFirst, sentAt, outcome); });
        }

        void awaitAnswer(duration time)
        {
            if (!m_overdueTimer || m_result.overdueRequests >= maxOverdueRequests)
                return;
            m_overdueTimer->expires_after(time);
            m_overdueTimer->async_wait([self = shared_from_this(), page = m_page, time](const boost::system::error_code& error) {
                if (!error && page == self->m_page)
                    self->onOverdue(time);
            });
        }

        void onOverdue(duration waited)
        {
            ++m_result.overdueRequests;
            request(false);
            awaitAnswer(2 * waited);
        }

        /// \a page, \a isFirst and \a sentAt are those of the request. The page fails with its first request, which has waited
        /// longest.
        void onAnswer(std::uint64_t page, bool isFirst, instant sentAt, const newest_outcome& outcome)
        {
            const bool isOvertaken = page != m_page;
            if (isOvertaken || (!outcome.isDone && !isFirst))
                return;
            ++m_page;
            if (m_overdueTimer)
                m_overdueTimer->cancel();
            if (outcome.isDone && bootNow() - sentAt < overdueTime)
                m_result.overdueRequests = 0;
            addPage(outcome);
        }

        void addPage(const newest_outcome& page)
        {
            m_result.isRefused = page.isRefused;
            m_result.isOversized = page.isOversized;
            m_result.detail = page.detail;
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
                if (record.key.starts_with(m_query.prefix))
                    m_result.records.push_back(record);
            }
            m_result.isDone = !page.hasMore || lastKey.empty() || !lastKey.starts_with(m_query.prefix);
            m_result.lastKey = lastKey;
            if (m_result.isDone)
                m_onDone(std::move(m_result));
            else
                readAfter(lastKey);
        }

        shared_log& m_log;
        newest_query m_query;
        std::function<void(newest_records)> m_onDone;
        newest_records m_result;
        std::string m_afterKey;
        /// Number of the present page.
        std::uint64_t m_page = 0;
        /// Absent when overdue pages are only waited for.
        std::optional<boot_timer> m_overdueTimer;
    };

}

std::span<keyed_record> sortByOffset(newest_records& newest)
{
    std::vector<keyed_record>& all = newest.records;
    std::sort(all.begin(), all.end(), [](const keyed_record& left, const keyed_record& right) { return left.offset < right.offset; });
    const auto isBefore = [](const keyed_record& record, std::uint64_t offset) { return record.offset < offset; };
    return { all.begin(), std::lower_bound(all.begin(), all.end(), newest.end, isBefore) };
}

void continueNewestPages(shared_log& log, const newest_query& query, newest_records previous, std::function<void(newest_records)> onDone)
{
    std::make_shared<page_reader>(log, query, std::move(onDone))->resume(std::move(previous));
}

void followNewestPages(boost::asio::io_context& context, shared_log& log, const newest_query& query, newest_records previous, std::function<void(newest_records)> onDone)
{
    const std::shared_ptr<page_reader> reader = std::make_shared<page_reader>(log, query, std::move(onDone));
    reader->repeatOverdue(context);
    reader->resume(std::move(previous));
}

}
