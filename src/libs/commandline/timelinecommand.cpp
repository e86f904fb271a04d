#include "timelinecommand.h"

#include "adminclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <ostream>
#include <set>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr std::uint64_t millisecondsPerSecond = 1000;

    using merged_or_failure = std::variant<merged_timeline, command_failure>;

    /// Milliseconds per 's', 'm' or 'h'; nothing for another \a unit.
    std::optional<std::uint64_t> millisecondsPerUnit(char unit)
    {
        switch (unit) {
        case 's':
            return millisecondsPerSecond;
        case 'm':
            return 60 * millisecondsPerSecond;
        case 'h':
            return 3600 * millisecondsPerSecond;
        default:
            return std::nullopt;
        }
    }

    json eventJson(const event_row& event)
    {
        return { { "time", std::to_string(event.time.packed) }, { "wall_ms", event.time.wallMilliseconds() },
            { "logical", event.time.logical() }, { "vm", event.vm }, { "kind", event.kind }, { "subject", event.subject },
            { "code", event.code }, { "detail", event.detail } };
    }

    void writeJson(const command_environment& environment, const merged_timeline& timeline)
    {
        json events = json::array();
        for (const event_row& event : timeline.events)
            events.push_back(eventJson(event));
        environment.output << json { { "events", events }, { "answered", timeline.answered }, { "missing", timeline.missing } } << '\n';
    }

    void reportMissing(const command_environment& environment, const merged_timeline& timeline)
    {
        for (const std::string& name : timeline.missing)
            environment.errors << "The time line lacks the events of " << name << ", which did not answer.\n";
    }

    /// Name and number of \a code in brackets; empty for 0.
    std::string codeText(int code)
    {
        if (code == 0)
            return {};
        return " [" + std::string(resultCodeInfo(static_cast<result_code>(code)).name) + ", result code " + std::to_string(code) + ']';
    }

    /// \a kind in words, such as "request failed" for "request_failed".
    std::string withSpaces(std::string kind)
    {
        std::replace(kind.begin(), kind.end(), '_', ' ');
        return kind;
    }

    /// Detail of \a event, or its kind in words when it has no detail.
    std::string eventText(const event_row& event)
    {
        return event.detail.empty() ? withSpaces(event.kind) + '.' : event.detail;
    }

    /// Writes the events with their times relative to the first, and the meaning of the last result code.
    void writeExplanation(const command_environment& environment, const std::string& subject, const merged_timeline& timeline)
    {
        const std::vector<event_row>& events = timeline.events;
        std::set<std::string> vms;
        for (const event_row& event : events)
            vms.insert(event.vm);
        const std::uint64_t begin = events.front().time.wallMilliseconds();
        const std::uint64_t span = events.back().time.wallMilliseconds() - begin;
        environment.output << subject << ": " << events.size() << " events on " << vms.size() << " VMs within " << span << " ms.\n";
        for (const event_row& event : events) {
            environment.output << timeText(event.time) << " (after " << event.time.wallMilliseconds() - begin << " ms) on " << event.vm << ", "
                               << withSpaces(event.kind) << ": " << eventText(event) << codeText(event.code) << '\n';
        }
        const int code = events.back().code;
        if (code != 0)
            environment.output << "The last event carries result code " << code << ": " << resultCodeInfo(static_cast<result_code>(code)).text << '\n';
    }

}

std::optional<hybrid_time> parseSince(std::string_view text, std::uint64_t wallMilliseconds)
{
    if (text.empty())
        return hybrid_time {};
    std::uint64_t number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc())
        return std::nullopt;
    const std::string_view unit(result.ptr, static_cast<std::size_t>(text.data() + text.size() - result.ptr));
    if (unit.empty())
        return hybrid_time { number };
    const std::optional<std::uint64_t> factor = millisecondsPerUnit(unit.front());
    if (unit.size() != 1 || !factor)
        return std::nullopt;
    const std::uint64_t back = number > wallMilliseconds / *factor ? wallMilliseconds : number * *factor;
    return hybrid_time::fromMilliseconds(wallMilliseconds - back);
}

std::string timeText(hybrid_time time)
{
    const std::time_t seconds = static_cast<std::time_t>(time.wallMilliseconds() / millisecondsPerSecond);
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    const std::string fraction = std::to_string(millisecondsPerSecond + time.wallMilliseconds() % millisecondsPerSecond);
    return std::string(date.data()) + '.' + fraction.substr(1) + 'Z';
}

merged_or_failure readMergedTimeline(const command_environment& environment, std::string_view subject, hybrid_time since)
{
    const admin_client client(environment);
    const admin_result<daemon_status> result = client.status();
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return *failure;
    const daemon_status& status = std::get<daemon_status>(result);
    std::vector<std::string> names { status.vm };
    std::vector<std::string> addresses { environment.server };
    for (const member_row& member : status.members) {
        if (member.vm == status.vm || member.admin.empty())
            continue;
        names.push_back(member.vm);
        addresses.push_back(member.admin);
    }
    const std::vector<admin_result<std::vector<event_row>>> results = client.timelines(addresses, subject, since);
    merged_timeline timeline;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const std::vector<event_row>* shown = std::get_if<std::vector<event_row>>(&results[i]);
        if (shown == nullptr) {
            timeline.missing.push_back(names[i] + " (" + addresses[i] + ')');
            continue;
        }
        timeline.answered.push_back(names[i]);
        timeline.events.insert(timeline.events.end(), shown->begin(), shown->end());
    }
    std::stable_sort(timeline.events.begin(), timeline.events.end(),
        [](const event_row& left, const event_row& right) { return left.time < right.time; });
    return timeline;
}

exit_code runTimeline(const command_environment& environment, const std::string& subject, const std::string& since)
{
    const std::optional<hybrid_time> begin = parseSince(since, environment.wallMilliseconds());
    if (!begin)
        return report(environment, { exit_code::Usage, "The value '" + since + "' of '--since' is not a time; expected a number with s, m or h, such as 5m." });
    const merged_or_failure result = readMergedTimeline(environment, subject, *begin);
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(environment, *failure);
    const merged_timeline& timeline = std::get<merged_timeline>(result);
    reportMissing(environment, timeline);
    if (environment.format == output_format::Json) {
        writeJson(environment, timeline);
        return exit_code::Ok;
    }
    for (const event_row& event : timeline.events) {
        environment.output << timeText(event.time) << '+' << event.time.logical() << ' ' << event.vm << ' ' << event.kind << ' '
                           << event.subject << ": " << eventText(event) << codeText(event.code) << '\n';
    }
    return exit_code::Ok;
}

exit_code runExplain(const command_environment& environment, const std::string& subject, const std::string& since)
{
    const std::optional<hybrid_time> begin = parseSince(since, environment.wallMilliseconds());
    if (!begin)
        return report(environment, { exit_code::Usage, "The value '" + since + "' of '--since' is not a time; expected a number with s, m or h, such as 5m." });
    const merged_or_failure result = readMergedTimeline(environment, subject, *begin);
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(environment, *failure);
    const merged_timeline& timeline = std::get<merged_timeline>(result);
    reportMissing(environment, timeline);
    if (environment.format == output_format::Json)
        writeJson(environment, timeline);
    if (timeline.events.empty()) {
        return report(environment,
            { exit_code::Rejected,
                "None of the " + std::to_string(timeline.answered.size()) + " daemons that answered holds an event about '" + subject
                    + "'; check the id. Daemons keep only their newest events." });
    }
    if (environment.format == output_format::Text)
        writeExplanation(environment, subject, timeline);
    return exit_code::Ok;
}

}
