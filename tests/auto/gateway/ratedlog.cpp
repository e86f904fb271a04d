#include "ratedlog.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    /// Framing of an answer with records, and of each record in it.
    constexpr std::size_t answerFraming = 16;
    constexpr std::size_t recordFraming = 5;
    constexpr std::size_t maxPageRecords = 500;

    /// Size of \a bytes in base64.
    std::size_t base64Bytes(std::size_t bytes)
    {
        return (bytes + 2) / 3 * 4;
    }

}

rated_log::rated_log(virtual_time& time, const rated_log_options& options)
    : m_time(time)
    , m_options(options)
{
}

rated_log::partition& rated_log::partitionOf(const topic_partition& topicPartition)
{
    return m_partitions[topicPartition.topic + "/" + std::to_string(topicPartition.partition)];
}

append_outcome rated_log::append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records)
{
    const std::optional<append_outcome> rejected = m_producers.admit(identity);
    if (rejected)
        return *rejected;
    partition& into = partitionOf(topicPartition);
    const std::uint64_t firstOffset = into.records.size();
    for (const keyed_record& record : records) {
        const std::uint64_t offset = into.records.size();
        into.records.push_back({ { record.key, record.value, offset }, m_time.now() });
        into.bytes += record.bytes();
        if (record.value)
            into.newest[record.key] = offset;
        else
            into.newest.erase(record.key);
    }
    answerWaiting(into);
    return { append_status::Done, firstOffset };
}

void rated_log::read(const topic_partition& topicPartition, const read_range& range, read_call call)
{
    partition& from = partitionOf(topicPartition);
    if (range.from < from.records.size() || range.wait <= duration::zero()) {
        answer(from, range, call);
        return;
    }
    const std::uint64_t number = ++m_lastRead;
    from.waiting.insert({ number, { range, std::move(call) } });
    m_time.callAfter(range.wait, [this, &from, number] {
        const std::map<std::uint64_t, waiting_read>::node_type read = from.waiting.extract(number);
        if (!read.empty())
            answer(from, read.mapped().range, read.mapped().call);
    });
}

void rated_log::answerWaiting(partition& from)
{
    for (std::map<std::uint64_t, waiting_read>::iterator next = from.waiting.begin(); next != from.waiting.end();) {
        const std::map<std::uint64_t, waiting_read>::iterator read = next++;
        if (read->second.range.from >= from.records.size())
            continue;
        answer(from, read->second.range, read->second.call);
        from.waiting.erase(read);
    }
}

std::uint64_t rated_log::firstRetained(const partition& from) const
{
    const instant oldest = m_time.now() - m_options.history;
    const auto isOlder = [](const stored_record& record, instant time) { return record.appendedAt < time; };
    return static_cast<std::uint64_t>(std::lower_bound(from.records.begin(), from.records.end(), oldest, isOlder) - from.records.begin());
}

void rated_log::answer(const partition& from, const read_range& range, const read_call& call)
{
    const std::uint64_t end = from.records.size();
    const bool isExpired = range.from < firstRetained(from);
    std::size_t contentBytes = 0;
    std::uint64_t next = range.from;
    while (!isExpired && next < end) {
        const std::size_t recordBytes = from.records[next].record.bytes() + recordFraming;
        if (next != range.from && contentBytes + recordBytes > range.maxBytes)
            break;
        contentBytes += recordBytes;
        ++next;
    }
    call->onQueued(answerFraming + contentBytes);
    send(answerFraming + contentBytes, [&from, first = range.from, next, end, isExpired, call] {
        if (!call->onSent)
            return;
        read_outcome outcome { isExpired ? read_status::Expired : read_status::Done, {}, end };
        for (std::uint64_t offset = first; offset < next; ++offset)
            outcome.records.push_back(from.records[offset].record);
        std::exchange(call->onSent, {})(outcome);
    });
}

void rated_log::readNewest(const topic_partition& topicPartition, std::string_view afterKey, const newest_call& call)
{
    const partition& from = partitionOf(topicPartition);
    const std::uint64_t end = from.records.size();
    std::vector<std::uint64_t> offsets;
    std::size_t contentBytes = 0;
    std::map<std::string, std::uint64_t, std::less<>>::const_iterator next = from.newest.upper_bound(afterKey);
    while (next != from.newest.end() && offsets.size() < maxPageRecords) {
        const std::size_t recordBytes = from.records[next->second].record.bytes();
        if (!offsets.empty() && contentBytes + recordBytes > maxPageBytes)
            break;
        contentBytes += recordBytes;
        offsets.push_back(next->second);
        ++next;
    }
    const bool hasMore = next != from.newest.end();
    const std::size_t bytes = base64Bytes(answerFraming + contentBytes);
    call->onQueued(bytes);
    send(bytes, [&from, offsets = std::move(offsets), hasMore, end, call] {
        if (!call->onSent)
            return;
        newest_outcome outcome { true, false, {}, hasMore, end };
        for (const std::uint64_t offset : offsets)
            outcome.records.push_back(from.records[offset].record);
        std::exchange(call->onSent, {})(outcome);
    });
}

void rated_log::send(std::size_t bytes, std::function<void()> onSent)
{
    const duration sendTime(bytes * std::micro::den / m_options.bytesPerSecond);
    m_idleAt = std::max(m_idleAt, m_time.now() + m_options.callTime) + sendTime;
    m_time.callAt(m_idleAt, std::move(onSent));
}

duration rated_log::backlog() const
{
    return std::max(duration::zero(), m_idleAt - m_time.now());
}

}
