#pragma once

#include "ratedlog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ragwortreach {

/// What one client asked of the log.
struct log_traffic {
    std::uint64_t reads = 0;
    /// Reads without an answer in time.
    std::uint64_t failedReads = 0;
    /// Bytes of all answers that the log made, and of those that arrived in time.
    std::uint64_t requestedBytes = 0;
    std::uint64_t receivedBytes = 0;

    log_traffic& operator+=(const log_traffic& other);
    log_traffic operator-(const log_traffic& other) const;
};

/// One daemon's access to a rated_log, with the time-outs of the platform's client.
class rated_log_client : public shared_log {
public:
    rated_log_client(virtual_time& time, rated_log& log);

    void append(const topic_partition& topicPartition, const append_identity& identity, std::span<const keyed_record> records,
        std::function<void(const append_outcome&)> onDone) override;
    void read(const topic_partition& topicPartition, const read_range& range, read_handlers handlers) override;
    void readNewest(const topic_partition& topicPartition, const newest_range& range, std::function<void(const newest_outcome&)> onDone) override;

    /// While cut off, no call reaches the log, and no answer arrives, neither then nor later.
    void setCutOff(bool isCutOff);

    /// Traffic of \a topic so far.
    log_traffic traffic(const std::string& topic) const;
    log_traffic totalTraffic() const;

private:
    /// Connection to the log; no answer arrives on one that was lost.
    struct connection {
        bool isOpen = true;
    };

    /// Call that counts as traffic of \a topic, fails after \a timeout and calls \a onDone once.
    template <typename outcome>
    std::shared_ptr<rated_call<outcome>> startCall(const std::string& topic, duration timeout, std::function<void(const outcome&)> onDone);

    virtual_time& m_time;
    rated_log& m_log;
    std::shared_ptr<connection> m_connection = std::make_shared<connection>();
    /// By topic.
    std::map<std::string, log_traffic> m_traffic;
};

}
