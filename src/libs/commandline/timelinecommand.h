#pragma once

#include "adminmessage.h"
#include "commandenvironment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Events of all daemons in the order of their hybrid times, and the daemons that did not answer.
struct merged_timeline {
    std::vector<event_row> events;
    /// Names of the VMs that answered.
    std::vector<std::string> answered;
    /// Names and addresses of the VMs that did not.
    std::vector<std::string> missing;
};

/// Reads the time line events of the daemon at the address of \c environment.server and of all members in its view, and
/// merges them by hybrid time.
std::variant<merged_timeline, command_failure> readMergedTimeline(
    const command_environment& environment, std::string_view subject, hybrid_time since);

/// Parses a time span before \a wallMilliseconds, such as "10s", "5m" or "2h", or a packed hybrid time in decimal. An empty
/// text gives the time 0, that is all events.
std::optional<hybrid_time> parseSince(std::string_view text, std::uint64_t wallMilliseconds);

/// \a time in UTC in the format of ISO 8601, with milliseconds.
std::string timeText(hybrid_time time);

/// `timeline`: shows the merged events of all daemons.
exit_code runTimeline(const command_environment& environment, const std::string& subject, const std::string& since);

/// `explain ID`: shows the course of one request, batch, edit or order over all daemons.
exit_code runExplain(const command_environment& environment, const std::string& subject, const std::string& since);

}
