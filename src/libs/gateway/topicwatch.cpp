#include "topicwatch.h"

#include <core/resultcode.h>
#include <support/log.h>
#include <support/logline.h>

#include <utility>

namespace ragwortreach {

namespace {

    /// A follower that was confirmed longer ago than usual by more than this is behind.
    constexpr duration maxDelay = std::chrono::milliseconds(1500);
    /// Time between two lines on a topic that stays behind.
    constexpr duration repeatInterval = std::chrono::seconds(5);

}

topic_watch::topic_watch(log& logger)
    : m_logger(logger)
{
}

void topic_watch::add(const topic_follower& follower)
{
    m_topics.push_back({ &follower });
}

void topic_watch::tick(instant now)
{
    for (watched_topic& topic : m_topics) {
        checkOversized(topic);
        if (topic.follower->isReady())
            check(topic, now);
    }
}

void topic_watch::checkOversized(watched_topic& topic)
{
    const std::uint64_t oversized = topic.follower->tail().oversizedRecords;
    if (oversized == std::exchange(topic.oversizedRecords, oversized))
        return;
    const oversized_record& last = topic.follower->lastOversized();
    m_logger.write(log_line(log_level::Warning, "record_too_large")
                       .with("code", static_cast<int>(result_code::MemoryFull))
                       .with("topic", topic.follower->topicPartition().topic)
                       .with("partition", topic.follower->topicPartition().partition)
                       .with("key", last.key)
                       .with("offset", last.offset)
                       .with("bytes", last.bytes)
                       .with("max_bytes", topic.follower->maxRecordBytes())
                       .with("records", oversized)
                       .with("remedy", "write a smaller record, or give the VM more memory"));
}

void topic_watch::check(watched_topic& topic, instant now)
{
    const instant confirmedAt = topic.follower->confirmedAt();
    const bool isBehind = now - confirmedAt > topic.follower->usualAge() + maxDelay;
    if (!isBehind && !topic.isBehind)
        return;
    if (!topic.isBehind) {
        topic.behindSince = confirmedAt;
        topic.logged = topic.follower->tail();
    }
    const bool isChange = isBehind != topic.isBehind;
    topic.isBehind = isBehind;
    if (isChange || now - topic.loggedAt >= repeatInterval)
        write(topic, now);
}

void topic_watch::write(watched_topic& topic, instant now)
{
    const topic_follower& follower = *topic.follower;
    const tail_counters& tail = follower.tail();
    const duration behind = now - topic.behindSince;
    m_logger.write(log_line(log_level::Info, topic.isBehind ? "topic_behind" : "topic_regained")
                       .with("topic", follower.topicPartition().topic)
                       .with("partition", follower.topicPartition().partition)
                       .with("behind_us", behind.count())
                       .with("records_waiting", follower.backlog())
                       .with("reads", tail.reads - topic.logged.reads)
                       .with("overdue_reads", tail.overdueReads - topic.logged.overdueReads)
                       .with("unanswered_reads", tail.unansweredReads - topic.logged.unansweredReads)
                       .with("refused_reads", tail.refusedReads - topic.logged.refusedReads)
                       .with("broken_reads", tail.brokenReads - topic.logged.brokenReads)
                       .with("received_bytes", tail.receivedBytes - topic.logged.receivedBytes)
                       .with("last_failure", follower.lastFailure()));
    topic.loggedAt = now;
    topic.logged = tail;
}

}
