#include "topicfollower.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {
    constexpr duration firstRetryPause = std::chrono::milliseconds(150);
    constexpr duration maxRetryPause = std::chrono::milliseconds(600);
    constexpr duration minPatience = std::chrono::milliseconds(300);
    constexpr duration maxPatience = std::chrono::milliseconds(900);
    /// Factor for the patience after each read that was answered in time.
    constexpr double patienceDecay = 0.98;
    constexpr duration maxOverdueInterval = std::chrono::milliseconds(600);
    constexpr duration maxRepeatInterval = std::chrono::seconds(5);
    /// A log that answers one read after the other may have sent the answer to a read just before that to a probe.
    constexpr duration arrivalTime = std::chrono::milliseconds(50);
    /// Time until a page that is larger than this daemon takes is requested again, although nothing was written since.
    constexpr duration oversizedPagePause = std::chrono::seconds(15);
    /// First time between two probes that tell whether something was written since.
    constexpr duration firstOversizedPause = std::chrono::milliseconds(500);
    /// Size of an answer.
    constexpr std::size_t tailReadBytes = std::size_t { 64 } * 1024;
    /// Offset beyond the end of any partition: the answer tells the end and has no records.
    constexpr std::uint64_t probeOffset = std::uint64_t { 1 } << 40;
    constexpr std::size_t probeBytes = 1024;
}

topic_follower::topic_follower(boost::asio::io_context& context, shared_log& log, topic_follower_options options, handlers handlers)
    : m_context(context)
    , m_log(log)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_timer(context)
    , m_patience(minPatience)
    , m_oversizedPause(firstOversizedPause, oversizedPagePause)
    , m_retryPause(firstRetryPause, maxRetryPause)
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
    const newest_query query { m_options.topicPartition, m_options.snapshotPrefix, m_options.maxRecordBytes };
    followNewestPages(m_context, m_log, query, std::exchange(m_partial, {}), [this](newest_records newest) { applySnapshot(std::move(newest)); });
}

void topic_follower::onSnapshotFailed(newest_records newest)
{
    ++m_snapshots.failedPages;
    m_lastFailure = newest.detail;
    if (newest.isRefused)
        reportRefusal();
    const bool isOversized = newest.isOversized;
    m_partial = std::move(newest);
    if (!isOversized) {
        retryLater(m_retryPause.next(), &topic_follower::readSnapshot);
        return;
    }
    passOver({});
    m_oversizedPause.noteFailure();
    m_repeatPageAt = bootNow() + oversizedPagePause;
    retryLater(m_oversizedPause.next(), &topic_follower::probeOversizedPage);
}

/// Smaller records may have taken the place of those that made the page too large.
void topic_follower::probeOversizedPage()
{
    m_log.read(m_options.topicPartition, { probeOffset, {}, probeBytes }, { [this](const read_outcome& outcome) { onOversizedPageProbed(outcome); } });
}

void topic_follower::onOversizedPageProbed(const read_outcome& outcome)
{
    const bool isWritten = outcome.status == read_status::Done && outcome.end != m_oversizedPageEnd;
    if (isWritten)
        m_oversizedPageEnd = outcome.end;
    if (isWritten || bootNow() >= m_repeatPageAt)
        readSnapshot();
    else
        retryLater(m_oversizedPause.next(), &topic_follower::probeOversizedPage);
}

void topic_follower::applySnapshot(newest_records newest)
{
    recordReadResult(newest.isDone);
    if (!newest.isDone) {
        onSnapshotFailed(std::move(newest));
        return;
    }
    m_partial.overdueRequests = newest.overdueRequests;
    m_oversizedPause.reset();
    ++m_snapshots.snapshots;
    m_snapshots.pages += newest.pages;
    m_snapshots.bytes += newest.bytes;
    const std::span<keyed_record> paged = sortByOffset(newest);
    const auto isBefore = [](const keyed_record& record, std::uint64_t offset) { return record.offset < offset; };
    const std::span<keyed_record>::iterator begin = std::lower_bound(paged.begin(), paged.end(), m_next, isBefore);
    m_next = std::max(m_next, newest.end);
    m_isReady = true;
    m_handlers.onSnapshot(newest.records, std::span<const keyed_record>(begin, paged.end()));
    confirm(m_sentAt);
    readTail();
}

void topic_follower::readTail()
{
    ++m_readNumber;
    m_openReads = 0;
    m_overdueInterval = m_patience;
    m_repeatInterval = m_options.wait + m_patience;
    sendRead({ m_next, m_options.wait, tailReadBytes });
    awaitAnswer(m_options.wait + m_patience);
}

void topic_follower::sendRead(read_range range)
{
    ++m_openReads;
    ++m_tail.reads;
    m_readSentAt = bootNow();
    range.maxRecordBytes = m_options.maxRecordBytes;
    m_log.read(m_options.topicPartition, range,
        { [this, number = m_readNumber, sentAt = m_readSentAt](const read_outcome& outcome) { onReadDone(number, sentAt, outcome); },
            [this, number = m_readNumber](std::uint64_t end) { onProgress(number, end); } });
}

void topic_follower::sendProbe()
{
    ++m_openReads;
    ++m_tail.reads;
    ++m_tail.overdueReads;
    read_range range { probeOffset, {}, probeBytes };
    range.mayReuseConnection = false;
    m_log.read(m_options.topicPartition, range, { [this, number = m_readNumber, sentAt = bootNow()](const read_outcome& outcome) { onProbeDone(number, sentAt, outcome); } });
}

bool topic_follower::isArriving() const
{
    return bootNow() - m_progressAt < m_patience;
}

void topic_follower::repeatReadSoon()
{
    m_timer.expires_after(arrivalTime);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        repeatRead();
        awaitAnswer(m_overdueInterval);
    });
}

/// An answer that is merely late would only be later if the log had to send it once more.
void topic_follower::repeatRead()
{
    const bool isOpen = m_openReads > 0;
    if (isOpen && (isArriving() || bootNow() - m_readSentAt < m_repeatInterval))
        return;
    m_repeatInterval = std::min(2 * m_repeatInterval, maxRepeatInterval);
    ++m_tail.overdueReads;
    read_range range { m_next, {}, tailReadBytes };
    range.mayReuseConnection = false;
    sendRead(range);
}

void topic_follower::awaitAnswer(duration time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            onOverdue();
    });
}

void topic_follower::onOverdue()
{
    if (!isArriving()) {
        m_isFailing = true;
        sendProbe();
    }
    awaitAnswer(m_overdueInterval);
    m_overdueInterval = std::max(m_patience, std::min(2 * m_overdueInterval, maxOverdueInterval));
}

void topic_follower::onProgress(std::uint64_t number, std::uint64_t end)
{
    if (number != m_readNumber)
        return;
    m_progressAt = bootNow();
    noteEnd(end);
}

/// To be called when the log has told the end of the partition before the records up to it have arrived.
void topic_follower::noteEnd(std::uint64_t end)
{
    m_end = std::max(m_end, end);
    if (m_end > m_next)
        reportBehind();
}

void topic_follower::reportBehind()
{
    if (m_handlers.onBehind)
        m_handlers.onBehind();
}

void topic_follower::onProbeDone(std::uint64_t number, instant sentAt, const read_outcome& outcome)
{
    const bool isBehind = outcome.status == read_status::Done && outcome.end > m_next;
    if (!isBehind) {
        onReadDone(number, sentAt, outcome);
        return;
    }
    learnPatience(number, sentAt);
    if (number != m_readNumber)
        return;
    --m_openReads;
    noteEnd(outcome.end);
    repeatReadSoon();
}

void topic_follower::onReadDone(std::uint64_t number, instant sentAt, const read_outcome& outcome)
{
    const bool isAnswered = outcome.status == read_status::Done || outcome.status == read_status::Expired;
    const bool isOvertaken = number != m_readNumber;
    if (!isAnswered)
        noteFailure(outcome, sentAt);
    for (const keyed_record& record : outcome.records)
        m_tail.receivedBytes += record.bytes();
    if (isAnswered)
        learnPatience(number, sentAt);
    if (isOvertaken)
        return;
    --m_openReads;
    if (isAnswered) {
        ++m_readNumber;
        m_timer.cancel();
    }
    recordReadResult(isAnswered);
    switch (outcome.status) {
    case read_status::Expired:
        reportBehind();
        readSnapshot();
        return;
    case read_status::Refused:
    case read_status::Unavailable:
        if (m_openReads == 0)
            retryLater(m_retryPause.next(), &topic_follower::readTail);
        return;
    case read_status::Done:
        applyTail(sentAt, outcome);
        return;
    }
}

void topic_follower::noteFailure(const read_outcome& outcome, instant sentAt)
{
    m_lastFailure = outcome.detail;
    if (outcome.status == read_status::Refused) {
        ++m_tail.refusedReads;
        reportRefusal();
    } else if (bootNow() - sentAt < longestAnswerTime) {
        ++m_tail.brokenReads;
    } else {
        ++m_tail.unansweredReads;
    }
}

void topic_follower::reportRefusal()
{
    if (m_handlers.onRefused)
        m_handlers.onRefused();
}

/// To be called once the records that a read sent at \a sentAt returned have been delivered.
void topic_follower::confirm(instant sentAt)
{
    m_confirmedAt = sentAt;
    if (std::exchange(m_isRegaining, false))
        m_regainedAt = bootNow();
    if (m_handlers.onConfirmed)
        m_handlers.onConfirmed();
}

/// Becomes more patient at most once for each read, however many further reads were sent while it was overdue.
void topic_follower::learnPatience(std::uint64_t number, instant sentAt)
{
    if (number == m_readNumber) {
        m_patience = std::max(minPatience, std::chrono::duration_cast<duration>(m_patience * patienceDecay));
        return;
    }
    if (number <= m_lastLate || bootNow() - sentAt <= m_patience)
        return;
    m_lastLate = number;
    m_patience = std::min(maxPatience, m_patience * 2);
}

void topic_follower::applyTail(instant sentAt, const read_outcome& outcome)
{
    m_next += outcome.records.size();
    m_end = outcome.end;
    if (!outcome.records.empty())
        m_handlers.onRecords(outcome.records);
    if (outcome.oversized) {
        ++m_next;
        passOver(*outcome.oversized);
    }
    const bool isAtEnd = m_next >= outcome.end;
    if (isAtEnd)
        confirm(sentAt);
    const duration remaining = m_options.pollInterval - (bootNow() - sentAt);
    const bool readsOn = !isAtEnd && (!outcome.records.empty() || outcome.oversized);
    if (readsOn || remaining <= duration::zero()) {
        readTail();
        return;
    }
    m_timer.expires_after(remaining);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            readTail();
    });
}

void topic_follower::passOver(const oversized_record& record)
{
    ++m_tail.oversizedRecords;
    m_lastOversized = record;
    if (m_handlers.onOversized)
        m_handlers.onOversized(record);
}

void topic_follower::recordReadResult(bool isDone)
{
    if (!isDone)
        ++m_readFailures;
    m_isRegaining = isDone && (m_isRegaining || m_isFailing);
    if (m_isRegaining)
        m_regainedAt = bootNow();
    m_isFailing = !isDone;
    if (isDone)
        m_retryPause.reset();
    else
        m_retryPause.noteFailure();
}

void topic_follower::retryLater(duration pause, void (topic_follower::*step)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step](const boost::system::error_code& error) {
        if (!error)
            (this->*step)();
    });
}

}
