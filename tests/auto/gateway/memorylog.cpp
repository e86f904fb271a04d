#include "memorylog.h"

#include <gateway/bootclock.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace ragwortreach {

namespace {

    /// Time between two pieces of an answer.
    constexpr duration pieceTime = std::chrono::milliseconds(100);

}

memory_log::memory_log(boost::asio::io_context& context)
    : m_context(context)
{
}

void memory_log::setFaults(std::vector<append_fault> faults)
{
    m_faults.assign(faults.begin(), faults.end());
}

memory_log::partition& memory_log::partitionOf(const topic_partition& topicPartition)
{
    const std::string name = topicPartition.topic + "/" + std::to_string(topicPartition.partition);
    if (topicPartition.topic.empty())
        return m_partitions[m_firstName];
    if (m_firstName.empty()) {
        m_firstName = name;
        m_partitions[name] = std::move(m_partitions[""]);
    }
    return m_partitions[name];
}

void memory_log::compact()
{
    for (std::pair<const std::string, partition>& item : m_partitions)
        item.second.firstRetained = item.second.records.size();
}

void memory_log::put(const std::string& key, const std::string& value)
{
    std::vector<keyed_record>& records = partitionOf({}).records;
    records.push_back({ key, value, records.size() });
}

void memory_log::erase(const std::string& key)
{
    std::vector<keyed_record>& records = partitionOf({}).records;
    records.push_back({ key, std::nullopt, records.size() });
}

append_outcome memory_log::apply(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records)
{
    const std::optional<append_outcome> rejected = m_producers.admit(identity);
    if (rejected)
        return *rejected;
    std::vector<keyed_record>& stored = partitionOf(topicPartition).records;
    const std::uint64_t firstOffset = stored.size();
    for (const keyed_record& record : records)
        stored.push_back({ record.key, record.value, stored.size() });
    return { append_status::Done, firstOffset };
}

void memory_log::append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records,
    std::function<void(const append_outcome&)> onDone)
{
    append_fault fault = m_isDown ? append_fault::Refuse : append_fault::None;
    if (!m_isDown && !m_faults.empty()) {
        fault = m_faults.front();
        m_faults.pop_front();
    }
    append_outcome outcome { append_status::Unknown };
    const auto isUnacceptable = [this](const keyed_record& record) { return record.key == m_unacceptableKey; };
    if (fault == append_fault::None && std::any_of(records.begin(), records.end(), isUnacceptable)) {
        boost::asio::post(m_context, [whenDone = std::move(onDone)] { whenDone({ append_status::Unacceptable }); });
        return;
    }
    switch (fault) {
    case append_fault::None:
        outcome = apply(topicPartition, identity, records);
        break;
    case append_fault::Refuse:
        outcome.status = append_status::Refused;
        break;
    case append_fault::LoseAnswer:
        apply(topicPartition, identity, records);
        break;
    case append_fault::ApplyLate:
        m_lateAppends.push_back({ topicPartition, identity, { records.begin(), records.end() } });
        break;
    case append_fault::LoseCall:
        break;
    }
    if (fault == append_fault::None) {
        for (const pending_append& late : m_lateAppends)
            apply(late.topicPartition, late.identity, late.records);
        m_lateAppends.clear();
    }
    boost::asio::post(m_context, [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

void memory_log::read(const topic_partition& topicPartition, const read_range& range, read_handlers handlers)
{
    ++m_reads;
    m_askedBytes += range.maxBytes;
    m_lastSlack = range.slack;
    const partition& from = partitionOf(topicPartition);
    read_outcome outcome;
    outcome.end = from.records.size();
    if (!m_isDown && range.from < from.firstRetained) {
        outcome.status = read_status::Expired;
        outcome.firstRetained = from.firstRetained;
    } else if (!m_isDown) {
        outcome.status = read_status::Done;
        std::size_t bytes = 0;
        for (std::size_t offset = range.from; offset < from.records.size(); ++offset) {
            const keyed_record& record = from.records[offset];
            bytes += record.bytes();
            if (offset != range.from && bytes > range.maxBytes)
                break;
            if (record.bytes() > range.maxRecordBytes) {
                outcome.oversized = oversized_record { record.key, record.offset, record.bytes() };
                break;
            }
            outcome.records.push_back(record);
        }
    }
    if (m_isSilent)
        outcome = {};
    sendRecords(m_isSilent ? range.wait + range.slack : m_readDelay, outcome, handlers);
}

void memory_log::sendRecords(duration delay, const read_outcome& outcome, const read_handlers& handlers)
{
    std::size_t bytes = 0;
    for (const keyed_record& record : outcome.records)
        bytes += record.bytes();
    m_sentBytes += bytes;
    const duration sendTime = m_readRate == 0 ? duration::zero() : duration(bytes * std::micro::den / m_readRate);
    for (duration passed {}; passed < sendTime && handlers.onProgress; passed += pieceTime)
        answerAfter(delay + passed, [end = outcome.end, handlers] { handlers.onProgress(end); });
    answerAfter(delay + sendTime, [outcome, handlers] { handlers.onDone(outcome); });
}

void memory_log::answerAfter(duration delay, std::function<void()> answer)
{
    if (delay == duration::zero()) {
        boost::asio::post(m_context, std::move(answer));
        return;
    }
    const std::shared_ptr<boot_timer> timer = std::make_shared<boot_timer>(m_context, delay);
    timer->async_wait([timer, whenDue = std::move(answer)](const boost::system::error_code&) { whenDue(); });
}

void memory_log::readNewest(const topic_partition& topicPartition, const newest_range& range, std::function<void(const newest_outcome&)> onDone)
{
    ++m_pageRequests;
    m_newPageConnections += range.mayReuseConnection ? 0 : 1;
    if (m_silentPages > 0) {
        --m_silentPages;
        answerAfter(longestAnswerTime, [whenDone = std::move(onDone)] { whenDone({}); });
        return;
    }
    std::map<std::string, keyed_record> newest;
    const std::vector<keyed_record>& records = partitionOf(topicPartition).records;
    for (const keyed_record& record : records) {
        if (record.value)
            newest[record.key] = record;
        else
            newest.erase(record.key);
    }
    newest_outcome outcome;
    const bool isFailing = m_failingPages > 0 && m_pagesUntilFailure == 0;
    if (isFailing)
        --m_failingPages;
    else if (m_pagesUntilFailure > 0)
        --m_pagesUntilFailure;
    outcome.isDone = !m_isDown && !isFailing;
    m_pages += outcome.isDone ? 1 : 0;
    outcome.end = records.size();
    std::size_t bytes = 0;
    for (const std::pair<const std::string, keyed_record>& item : newest) {
        if (item.first <= range.afterKey)
            continue;
        bytes += item.second.value->size();
        outcome.hasMore = outcome.records.size() == m_pageRecords || (!outcome.records.empty() && bytes > m_pageBytes);
        if (outcome.hasMore)
            break;
        outcome.isOversized = outcome.isOversized || item.second.bytes() > range.maxRecordBytes;
        outcome.records.push_back(item.second);
    }
    if (outcome.isOversized) {
        outcome.isDone = false;
        outcome.records.clear();
    }
    answerAfter(m_pageDelay, [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

}
