#pragma once

#include "topicfollower.h"

#include <vector>

namespace ragwortreach {

class log;

/// Logs which topics this daemon has not read up to their ends for a while, what became of its reads meanwhile, and in which
/// topics it has passed records over.
class topic_watch {
public:
    explicit topic_watch(log& logger);

    /// \a follower has to outlive the watch.
    void add(const topic_follower& follower);
    /// To be called periodically.
    void tick(instant now);

private:
    struct watched_topic {
        const topic_follower* follower;
        bool isBehind = false;
        instant behindSince {};
        instant loggedAt {};
        /// Counters at the last line.
        tail_counters logged {};
        std::uint64_t oversizedRecords = 0;
    };

    void check(watched_topic& topic, instant now);
    /// Logs that records were passed over since the last check.
    void checkOversized(watched_topic& topic);
    void write(watched_topic& topic, instant now);

    log& m_logger;
    std::vector<watched_topic> m_topics;
};

}
