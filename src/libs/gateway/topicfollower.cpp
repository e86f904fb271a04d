#include "topicfollower.h"

#include "bootclock.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {
    constexpr duration firstRetryPause = std::chrono::milliseconds(150);
    constexpr std::uint32_t maxRetryDoublings = 2;
}

topic_follower::topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers)
    : m_log(log)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_timer(context)
    , m_random(std::random_device {}())
{
}

void topic_follower::start()
{
    readSnapshot();
}

void topic_follower::readSnapshot()
{
    if (!m_partial.hasEnd)
        m_sentAt = bootNow();
    continueNewestPages(m_log, m_options.topicPartition, std::exchange(m_partial, {}), [this](newest_records newest) { applySnapshot(std::move(newest)); });
}

void topic_follower::applySnapshot(newest_records newest)
{
    recordReadResult(newest.isDone);
    if (!newest.isDone) {
        m_partial = std::move(newest);
        retryLater(&topic_follower::readSnapshot);
        return;
    }
    std::vector<keyed_record>& all = newest.records;
    std::sort(all.begin(), all.end(), [](const keyed_record& left, const keyed_record& right) { return left.offset < right.offset; });
    const auto isBefore = [](const keyed_record& record, std::uint64_t offset) { return record.offset < offset; };
    // The pages are not a consistent snapshot. Records written after the first page was read come with the tail, in order.
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
    read_range range { m_next, m_options.wait };
    range.slack *= 1U << std::min(m_failuresInRow, m_options.maxTimeoutDoublings);
    m_log.read(m_options.topicPartition, range, [this](const read_outcome& outcome) { applyTail(outcome); });
}

void topic_follower::applyTail(const read_outcome& outcome)
{
    recordReadResult(outcome.status != read_status::Unavailable);
    switch (outcome.status) {
    case read_status::Expired:
        readSnapshot();
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
    const duration remaining = m_options.pollInterval - (bootNow() - m_sentAt);
    if (remaining <= duration::zero()) {
        readTail();
        return;
    }
    m_timer.expires_after(remaining);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            readTail();
    });
}

void topic_follower::recordReadResult(bool isDone)
{
    if (!isDone)
        ++m_readFailures;
    else if (m_isFailing)
        m_regainedAt = bootNow();
    m_isFailing = !isDone;
    m_failuresInRow = isDone ? 0 : m_failuresInRow + 1;
}

void topic_follower::retryLater(void (topic_follower::*step)())
{
    const duration longest = firstRetryPause * (1U << std::min(m_failuresInRow - 1, maxRetryDoublings));
    std::uniform_int_distribution<duration::rep> pause(longest.count() / 2, longest.count());
    m_timer.expires_after(duration(pause(m_random)));
    m_timer.async_wait([this, step](const boost::system::error_code& error) {
        if (!error)
            (this->*step)();
    });
}

}
