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

/// Events of all daemons in one order, and which daemons did not answer.
struct merged_timeline {
    std::vector<shown_event> events;
    /// Names of the VMs that answered.
    std::vector<std::string> answered;
    /// Names and addresses of the VMs that did not.
    std::vector<std::string> missing;
};

/// Reads the rings of the daemon at the server's address and of all members that it knows, and merges them by
/// hybrid time.
std::variant<merged_timeline, command_failure> readMergedTimeline(
    const command_environment& environment, std::string_view subject, hybrid_time since);

/// Parses "10s", "5m" or "2h" before \a wallMilliseconds, or a packed hybrid time in decimal. An empty text is the
/// beginning of time.
std::optional<hybrid_time> parseSince(std::string_view text, std::uint64_t wallMilliseconds);

/// Time of an event in UTC, with milliseconds.
std::string timeText(hybrid_time time);

/// `timeline`: shows the merged time line.
exit_code runTimeline(const command_environment& environment, const std::string& subject, const std::string& since);

/// `explain ID`: tells what happened to one request, batch, edit or order over all processes.
exit_code runExplain(const command_environment& environment, const std::string& subject, const std::string& since);

}
