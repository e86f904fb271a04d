#include "textrequests.h"

#include "bootclock.h"
#include "textkeys.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

class text_requests::sender {
public:
    sender(text_requests& requests, pending_iterator pending)
        : m_requests(requests)
        , m_pending(pending)
    {
    }

    void operator()(const range_request& range) const { m_requests.sendRange(m_pending, range); }
    void operator()(const page_request& page) const { m_requests.sendPage(m_pending, page); }

private:
    text_requests& m_requests;
    pending_iterator m_pending;
};

text_requests::text_requests(shared_log& log, const topic_writer& topic, std::size_t maxCacheBytes)
    : m_log(log)
    , m_topic(topic)
    , m_cache(maxCacheBytes)
{
}

bool text_requests::join(std::string_view textKey, const answer_handler& onAnswer)
{
    const auto isForText = [textKey](const pending_request& pending) { return pending.request.textKeys.contains(textKey); };
    const pending_iterator found = std::find_if(m_pending.begin(), m_pending.end(), isForText);
    if (found == m_pending.end())
        return false;
    ++m_counters.sharedRequests;
    found->handlers.push_back(onAnswer);
    return true;
}

void text_requests::send(text_request request, answer_handler onAnswer)
{
    m_pending.push_back({ std::move(request), bootNow(), { std::move(onAnswer) } });
    const pending_iterator pending = std::prev(m_pending.end());
    std::visit(sender(*this, pending), pending->request.kind);
}

void text_requests::sendRange(pending_iterator pending, const range_request& range)
{
    ++m_counters.rangeRequests;
    m_counters.rangeBytes += range.bytes;
    const read_range asked { range.from, {}, range.bytes };
    m_log.read(m_topic.topicPartition(pending->request.partition), asked, { [this, pending, range](const read_outcome& outcome) { applyRange(pending, range, outcome); } });
}

void text_requests::sendPage(pending_iterator pending, const page_request& page)
{
    ++m_counters.pageRequests;
    m_log.readNewest(m_topic.topicPartition(pending->request.partition), { page.after }, [this, pending, page](const newest_outcome& outcome) { applyPage(pending, page, outcome); });
}

void text_requests::applyRange(pending_iterator pending, const range_request& range, const read_outcome& outcome)
{
    text_answer answer = emptyAnswer(*pending);
    answer.isAnswered = outcome.status == read_status::Done || outcome.status == read_status::Expired;
    answer.firstOffset = range.from;
    answer.endOffset = range.from;
    if (outcome.status == read_status::Expired) {
        std::uint64_t& expiredBefore = m_expiredBefore[answer.partition];
        expiredBefore = std::max({ expiredBefore, range.from + 1, outcome.firstRetained });
    }
    if (outcome.status == read_status::Done) {
        // An offset without a record is beyond the end of the log; the text is not there.
        answer.endOffset += std::max<std::uint64_t>(outcome.records.size(), 1);
        takeRecords(answer, pending->request, outcome.records);
    }
    finish(pending, answer);
}

void text_requests::applyPage(pending_iterator pending, const page_request& page, const newest_outcome& outcome)
{
    text_answer answer = emptyAnswer(*pending);
    answer.isAnswered = outcome.isDone;
    answer.isPage = true;
    answer.afterKey = page.after;
    if (outcome.isDone)
        takePage(answer, pending->request, outcome);
    finish(pending, answer);
}

void text_requests::takePage(text_answer& answer, const text_request& request, const newest_outcome& outcome)
{
    std::string lastKey;
    for (const keyed_record& record : outcome.records) {
        m_counters.pageBytes += record.bytes();
        lastKey = std::max(lastKey, record.key);
    }
    if (outcome.hasMore && lastKey > answer.afterKey)
        answer.lastKey = lastKey;
    takeRecords(answer, request, outcome.records);
}

text_answer text_requests::emptyAnswer(const pending_request& pending)
{
    text_answer answer;
    answer.sentAt = pending.sentAt;
    answer.partition = pending.request.partition;
    answer.batchPrefix = batchPrefixOf(*pending.request.textKeys.begin());
    return answer;
}

void text_requests::takeRecords(text_answer& answer, const text_request& request, std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        if (!record.value || !record.key.starts_with(answer.batchPrefix))
            continue;
        const std::shared_ptr<const std::string> bytes = std::make_shared<const std::string>(*record.value);
        answer.chunks[record.key] = bytes;
        if (answer.isPage || request.textKeys.contains(textKeyOf(record.key)))
            m_cache.add({ record.key, bytes });
    }
}

void text_requests::finish(pending_iterator pending, const text_answer& answer)
{
    m_counters.failedRequests += answer.isAnswered ? 0U : 1U;
    const std::vector<answer_handler> handlers = std::move(pending->handlers);
    m_pending.erase(pending);
    for (const answer_handler& onAnswer : handlers)
        onAnswer(answer);
}

bool text_requests::isExpired(std::uint32_t partition, std::uint64_t offset) const
{
    const auto found = m_expiredBefore.find(partition);
    return found != m_expiredBefore.end() && offset < found->second;
}

}
