#include "ratedlogclient.h"

#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration appendTimeout = std::chrono::milliseconds(600);
    constexpr duration newestTimeout = std::chrono::milliseconds(3000);

}

log_traffic& log_traffic::operator+=(const log_traffic& other)
{
    reads += other.reads;
    failedReads += other.failedReads;
    requestedBytes += other.requestedBytes;
    receivedBytes += other.receivedBytes;
    return *this;
}

log_traffic log_traffic::operator-(const log_traffic& other) const
{
    return { reads - other.reads, failedReads - other.failedReads, requestedBytes - other.requestedBytes, receivedBytes - other.receivedBytes };
}

rated_log_client::rated_log_client(virtual_time& time, rated_log& log)
    : m_time(time)
    , m_log(log)
{
}

void rated_log_client::setCutOff(bool isCutOff)
{
    m_connection->isOpen = false;
    if (!isCutOff)
        m_connection = std::make_shared<connection>();
}

log_traffic rated_log_client::traffic(const std::string& topic) const
{
    const std::map<std::string, log_traffic>::const_iterator found = m_traffic.find(topic);
    return found != m_traffic.end() ? found->second : log_traffic {};
}

log_traffic rated_log_client::totalTraffic() const
{
    log_traffic total;
    for (const std::pair<const std::string, log_traffic>& topic : m_traffic)
        total += topic.second;
    return total;
}

void rated_log_client::append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records,
    std::function<void(const append_outcome&)> onDone)
{
    if (!m_connection->isOpen) {
        m_time.callAfter(appendTimeout, [whenDone = std::move(onDone)] { whenDone({ append_status::Unknown }); });
        return;
    }
    const append_outcome outcome = m_log.append(topicPartition, identity, records);
    m_time.callAfter(m_log.callTime(), [outcome, whenDone = std::move(onDone)] { whenDone(outcome); });
}

template <typename outcome>
std::shared_ptr<rated_call<outcome>> rated_log_client::startCall(const std::string& topic, duration timeout, std::function<void(const outcome&)> onDone)
{
    log_traffic& traffic = m_traffic[topic];
    ++traffic.reads;
    const std::shared_ptr<std::size_t> size = std::make_shared<std::size_t>(0);
    const std::shared_ptr<std::function<void(const outcome&)>> handler = std::make_shared<std::function<void(const outcome&)>>(std::move(onDone));
    std::shared_ptr<rated_call<outcome>> call = std::make_shared<rated_call<outcome>>();
    call->onQueued = [&traffic, size](std::size_t bytes) {
        traffic.requestedBytes += bytes;
        *size = bytes;
    };
    call->onSent = [&traffic, size, handler, usedConnection = m_connection](const outcome& answer) {
        if (!usedConnection->isOpen)
            return;
        traffic.receivedBytes += *size;
        std::exchange(*handler, {})(answer);
    };
    m_time.callAfter(timeout, [&traffic, handler, call] {
        call->onSent = {};
        if (!*handler)
            return;
        ++traffic.failedReads;
        std::exchange(*handler, {})(outcome {});
    });
    return call;
}

void rated_log_client::read(const topic_partition& topicPartition, const read_range& range, read_handlers handlers)
{
    const std::shared_ptr<rated_call<read_outcome>> call = startCall(topicPartition.topic, range.wait + range.slack, std::move(handlers.onDone));
    if (m_connection->isOpen)
        m_log.read(topicPartition, range, call);
}

void rated_log_client::readNewest(const topic_partition& topicPartition, const newest_range& range, std::function<void(const newest_outcome&)> onDone)
{
    const std::shared_ptr<rated_call<newest_outcome>> call = startCall(topicPartition.topic, newestTimeout, std::move(onDone));
    if (m_connection->isOpen)
        m_log.readNewest(topicPartition, range.afterKey, call);
}

}
