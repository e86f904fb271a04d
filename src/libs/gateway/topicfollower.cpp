#include "topicfollower.h"

#include "bootclock.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace ragwortreach {

namespace {
    constexpr std::chrono::milliseconds retryPause { 150 };
}

topic_follower::topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers)
    : m_log(log)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_timer(context)
{
}

void topic_follower::start()
{
    restart();
}

void topic_follower::restart()
{
    m_pages.clear();
    m_hasSnapshotEnd = false;
    readPage({});
}

void topic_follower::readPage(const std::string& afterKey)
{
    m_sentAt = bootNow();
    m_log.readNewest(m_options.where, afterKey, [this](const newest_outcome& page) { takePage(page); });
}

void topic_follower::takePage(const newest_outcome& page)
{
    noteAnswer(page.isDone);
    if (!page.isDone) {
        retryLater(&topic_follower::restart);
        return;
    }
    if (!m_hasSnapshotEnd) {
        m_hasSnapshotEnd = true;
        m_snapshotEnd = page.end;
        m_snapshotSentAt = m_sentAt;
    }
    std::string lastKey;
    for (const keyed_record& record : page.records) {
        lastKey = std::max(lastKey, record.key);
        m_pages[record.key] = record;
    }
    if (page.hasMore && !lastKey.empty()) {
        readPage(lastKey);
        return;
    }
    completeSnapshot();
}

void topic_follower::completeSnapshot()
{
    std::vector<keyed_record> all;
    for (std::pair<const std::string, keyed_record>& item : m_pages)
        all.push_back(std::move(item.second));
    m_pages.clear();
    std::sort(all.begin(), all.end(), [](const keyed_record& left, const keyed_record& right) { return left.offset < right.offset; });
    std::vector<keyed_record> fresh;
    for (const keyed_record& record : all) {
        // Pages are no snapshot: records after its end follow in the tail, in order.
        if (record.offset >= m_next && record.offset < m_snapshotEnd)
            fresh.push_back(record);
    }
    m_next = std::max(m_next, m_snapshotEnd);
    m_isReady = true;
    m_confirmedAt = m_snapshotSentAt;
    m_handlers.onSnapshot(all, fresh);
    readTail();
}

void topic_follower::readTail()
{
    m_sentAt = bootNow();
    m_log.read(m_options.where, { m_next, m_options.wait }, [this](const read_outcome& outcome) { takeTail(outcome); });
}

void topic_follower::takeTail(const read_outcome& outcome)
{
    noteAnswer(outcome.status != read_status::Unavailable);
    switch (outcome.status) {
    case read_status::Expired:
        restart();
        return;
    case read_status::Unavailable:
        retryLater(&topic_follower::readTail);
        return;
    case read_status::Done:
        break;
    }
    m_next += outcome.records.size();
    if (m_next >= outcome.end)
        m_confirmedAt = m_sentAt;
    if (!outcome.records.empty())
        m_handlers.onRecords(outcome.records);
    const duration rest = m_options.spacing - (bootNow() - m_sentAt);
    if (rest <= duration::zero()) {
        readTail();
        return;
    }
    m_timer.expires_after(rest);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            readTail();
    });
}

void topic_follower::noteAnswer(bool isDone)
{
    if (!isDone)
        ++m_readFailures;
    else if (m_isFailing)
        m_regainedAt = bootNow();
    m_isFailing = !isDone;
}

void topic_follower::retryLater(void (topic_follower::*step)())
{
    m_timer.expires_after(retryPause);
    m_timer.async_wait([this, step](const boost::system::error_code& error) {
        if (!error)
            (this->*step)();
    });
}

}
