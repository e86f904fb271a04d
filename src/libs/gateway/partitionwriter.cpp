#include "partitionwriter.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration firstRetryPause = std::chrono::milliseconds(200);
    /// Leases are renewed through this class, and results wait for it, so the pause stays short.
    constexpr duration maxRetryPause = std::chrono::milliseconds(600);
    /// Time after which the outcome of a write is reported as unknown.
    constexpr duration unknownOutcomeDelay = std::chrono::milliseconds(2000);

    std::size_t bytesOf(const std::vector<keyed_record>& records)
    {
        std::size_t bytes = 0;
        for (const keyed_record& record : records)
            bytes += record.bytes();
        return bytes;
    }

}

partition_writer::partition_writer(boost::asio::io_context& context, shared_log& log, topic_partition topicPartition, std::string producer)
    : m_log(log)
    , m_topicPartition(std::move(topicPartition))
    , m_identity { std::move(producer), 1, 0 }
    , m_timer(context)
    , m_retryPause(firstRetryPause, maxRetryPause)
{
}

void partition_writer::write(std::vector<keyed_record> records, write_mode mode, done_handler onDone)
{
    m_queue.push_back({ std::move(records), mode, std::move(onDone), false, false, false, {} });
    if (!m_isBusy)
        sendNext();
}

std::size_t partition_writer::pendingWrites() const
{
    return m_queue.size() + m_sending.size();
}

void partition_writer::report(const pending_write& item, const append_report& report)
{
    if (item.onDone)
        item.onDone(report);
}

void partition_writer::sendNext()
{
    std::size_t bytes = 0;
    while (!m_queue.empty()) {
        bytes += bytesOf(m_queue.front().records);
        if (!m_sending.empty() && (bytes > maxAppendBytes || m_queue.front().isSuspect || m_sending.front().isSuspect))
            break;
        m_queue.front().firstSentAt = bootNow();
        m_sending.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_isBusy = !m_sending.empty();
    if (m_isBusy)
        send();
}

void partition_writer::send()
{
    m_records.clear();
    for (const pending_write& item : m_sending)
        m_records.insert(m_records.end(), item.records.begin(), item.records.end());
    ++m_appends;
    m_log.append(m_topicPartition, m_identity, m_records, [this](const append_outcome& outcome) { onAppendDone(outcome); });
}

void partition_writer::onAppendDone(const append_outcome& outcome)
{
    if (outcome.status == append_status::Unknown)
        m_retryPause.noteFailure();
    else if (outcome.status != append_status::Unacceptable)
        m_retryPause.reset();
    switch (outcome.status) {
    case append_status::Done:
        complete(outcome.firstOffset);
        return;
    case append_status::Refused:
        ++m_failures;
        if (!mayHaveBeenAppended())
            failRefusedWrites();
        retryLater();
        return;
    case append_status::Unacceptable:
        ++m_failures;
        isolateUnacceptable();
        return;
    case append_status::Unknown:
        ++m_failures;
        noteUnknown();
        retryLater();
        return;
    case append_status::WrongSequence:
        if (outcome.expectedSequence > m_identity.sequence) {
            complete(std::nullopt);
            return;
        }
        [[fallthrough]];
    case append_status::Fenced:
        ++m_failures;
        ++m_identity.epoch;
        retryLater();
        return;
    }
}

void partition_writer::complete(std::optional<std::uint64_t> firstOffset)
{
    ++m_identity.sequence;
    std::vector<pending_write> done = std::exchange(m_sending, {});
    sendNext();
    for (pending_write& item : done) {
        if (!item.isReported)
            report(item, { append_status::Done, firstOffset });
        if (firstOffset)
            *firstOffset += item.records.size();
    }
}

/// Called only when no record of the append can have been appended.
void partition_writer::failRefusedWrites()
{
    std::vector<pending_write> refused;
    std::erase_if(m_sending, [&refused](pending_write& item) {
        if (item.mode != write_mode::FailOnRefusal)
            return false;
        refused.push_back(std::move(item));
        return true;
    });
    for (pending_write& item : refused)
        report(item, { append_status::Refused });
}

void partition_writer::isolateUnacceptable()
{
    // The sequence number goes to other records now, which must not be taken for a repetition of these.
    if (mayHaveBeenAppended())
        ++m_identity.epoch;
    std::vector<pending_write> refused = std::exchange(m_sending, {});
    for (pending_write& item : refused)
        item.isSuspect = true;
    if (refused.size() > 1) {
        m_queue.insert(m_queue.begin(), std::make_move_iterator(refused.begin()), std::make_move_iterator(refused.end()));
        sendNext();
        return;
    }
    if (refused.front().mode == write_mode::RetryOnRefusal) {
        putBehind(std::move(refused.front()));
        return;
    }
    sendNext();
    const pending_write& only = refused.front();
    if (!only.isReported)
        report(only, { only.mayHaveBeenAppended ? append_status::Unknown : append_status::Refused });
}

void partition_writer::putBehind(pending_write item)
{
    m_queue.push_back(std::move(item));
    m_retryPause.noteFailure();
    if (m_queue.front().isSuspect)
        retryLater();
    else
        sendNext();
}

void partition_writer::noteUnknown()
{
    for (pending_write& item : m_sending) {
        item.mayHaveBeenAppended = true;
        const bool isOverdue = bootNow() - item.firstSentAt >= unknownOutcomeDelay;
        if (item.mode != write_mode::FailOnRefusal || item.isReported || !isOverdue)
            continue;
        item.isReported = true;
        report(item, { append_status::Unknown });
    }
}

void partition_writer::retryLater()
{
    m_timer.expires_after(m_retryPause.next());
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (m_sending.empty())
            sendNext();
        else
            send();
    });
}

}
