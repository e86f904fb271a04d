#pragma once

#include <core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::Tests {

/// Bounds of the platform.
struct configuration_bounds {
    /// From the acknowledgement of a configuration until all daemons follow it.
    duration apply = std::chrono::seconds(2);
    /// Added to it at most while the store turns daemons away.
    duration disturbed = std::chrono::seconds(5);
    /// Time after a disturbance from which a daemon is judged again.
    duration contact = std::chrono::seconds(3);
    /// From a call that went by a configuration until no later call at the daemon goes by an older one.
    duration revert = std::chrono::milliseconds(250);
};

/// What happened to one daemon for a time.
enum class disturbance_kind {
    /// The store answers that it does not serve the daemon.
    Refused,
    /// The daemon gets no answer of the store.
    Unanswered,
    /// The store answers late.
    Slow,
    /// The process was stopped, killed or started.
    Process,
};

struct disturbance {
    std::size_t daemon = 0;
    disturbance_kind kind = disturbance_kind::Refused;
    instant from {};
    instant until = instant::max();
};

/// Call of a caller at one daemon.
struct judged_call {
    std::size_t daemon = 0;
    std::string id;
    instant sentAt {};
    instant answeredAt {};
    /// 0 when there was no answer.
    int status = 0;
    /// Version of the configuration by which a replica got the call; empty when none did.
    std::optional<std::uint64_t> version {};
};

/// Judges from outside whether daemons followed the operators' configuration in time: by the calls that callers sent and
/// replicas got, and by what the operators were told.
class configuration_judge {
public:
    explicit configuration_judge(configuration_bounds bounds = {});

    /// The store acknowledged \a version.
    void noteChange(std::uint64_t version, instant acknowledgedAt) { m_changes[version] = acknowledgedAt; }
    /// Returns a number for noteEnd().
    std::size_t noteDisturbance(disturbance noted);
    void noteEnd(std::size_t number, instant until) { m_disturbances[number].until = until; }

    /// A line for each broken rule. \a calls are in the order in which they were sent to each daemon.
    std::vector<std::string> brokenRules(const std::vector<judged_call>& calls) const;
    /// Longest time after the acknowledgement of a newer version at which a call went by an older one, by the state of its daemon.
    std::map<std::string, duration> greatestDelays(const std::vector<judged_call>& calls) const;

private:
    /// Time from the acknowledgement of a version newer than that of \a call until it was sent; zero when there is none.
    duration delayOf(const judged_call& call) const;
    bool isDisturbed(std::size_t daemon, disturbance_kind kind, instant at) const;
    /// Whether the store turned any daemon away shortly before or after \a from until \a until.
    bool isStoreDisturbed(instant from, instant until) const;
    bool isJudged(const judged_call& call) const;
    duration boundFor(const judged_call& call) const;
    std::string_view stateOf(const judged_call& call) const;

    configuration_bounds m_bounds;
    std::map<std::uint64_t, instant> m_changes;
    std::vector<disturbance> m_disturbances;
};

}
