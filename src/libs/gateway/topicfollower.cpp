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
    m_sentAt = bootNow();
    readNewestPages(m_log, m_options.where, {}, [this](newest_records newest) { takeSnapshot(std::move(newest)); });
}

void topic_follower::takeSnapshot(newest_records newest)
{
    noteAnswer(newest.isDone);
    if (!newest.isDone) {
        retryLater(&topic_follower::restart);
        return;
    }
    std::vector<keyed_record>& all = newest.records;
    std::sort(all.begin(), all.end(), [](const keyed_record& left, const keyed_record& right) { return left.offset < right.offset; });
    const auto isBefore = [](const keyed_record& record, std::uint64_t offset) { return record.offset < offset; };
    // Pages are no snapshot: records after the end of the first page follow in the tail, in order.
    const std::vector<keyed_record>::iterator end = std::lower_bound(all.begin(), all.end(), newest.end, isBefore);
    const std::vector<keyed_record>::iterator begin = std::lower_bound(all.begin(), end, m_next, isBefore);
    m_next = std::max(m_next, newest.end);
    m_isReady = true;
    m_confirmedAt = m_sentAt;
    m_handlers.onSnapshot(all, std::span<const keyed_record>(begin, end));
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
