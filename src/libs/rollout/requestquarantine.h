#pragma once

#include "requestcrash.h"

#include <map>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// What is to be done with a request, by the crashes of replicas that it was running at.
enum class request_standing {
    Clear,
    /// One replica ended under it: it is kept apart from other suspects.
    Suspected,
    /// Two replicas ended under it: it is tried alone, and only while the service can do without one more replica.
    Isolated,
    /// Three replicas ended under it: it is not run.
    Quarantined,
};

/// Name of \a standing in log lines.
std::string_view toString(request_standing standing);

/// Finds the requests that end the replicas that run them.
///
/// A replica that ends blames all requests that it was running. A request is cleared by any answer of a replica, and it
/// is not blamed for crashes at which a request with more crashes was running, too. Facts are merged in any order.
class request_quarantine {
public:
    /// Crashes after which a request is quarantined.
    static constexpr std::size_t maxCrashes = 3;
    /// Time after the last crash for which a request stays quarantined. After it the request is isolated again.
    static constexpr duration quarantineTime = std::chrono::minutes(10);
    /// Facts about a request are forgotten this long after the last one.
    static constexpr duration retention = std::chrono::minutes(30);
    static constexpr std::size_t maxRequests = 4096;

    /// Merge a fact. They return whether it is news, so that other daemons should learn of it.
    bool merge(const request_crash& crash, instant now);
    bool merge(const request_success& success, instant now);

    request_standing standingOf(const request_digest& request, instant now) const;
    /// Whether a crash is known of the request that no answer has cleared.
    bool isBlamed(const request_digest& request) const;

    /// All facts that are known.
    std::vector<request_crash> crashes() const;
    std::vector<request_success> successes() const;
    std::size_t blamedCount() const;
    std::size_t quarantinedCount(instant now) const;
    void forgetOld(instant now);

private:
    struct entry {
        /// At most maxCrashes, the latest ones, the earliest first.
        std::vector<request_crash> crashes;
        instant answeredAt {};
        instant lastFactAt() const;
    };

    void makeRoom();
    /// Whether a request with more crashes was running at each crash of \a blamed.
    bool isExplained(const entry& blamed) const;
    static request_standing standingByCrashes(const entry& blamed, instant now);

    std::map<request_digest, entry> m_entries;
};

}
