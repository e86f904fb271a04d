#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Server-sent event with the fields that model engines use.
struct stream_event {
    std::uint64_t id = 0;
    std::string data;
    /// Version of the weights from this event on; empty when it did not change.
    std::optional<std::uint64_t> weightVersion;
    /// The event as it arrived, with the blank line at its end.
    std::string bytes;
};

/// Splits a body of server-sent events into whole events. An event that is cut at the end of the body is dropped.
///
/// Source: WHATWG HTML, "Server-sent events". The line that names a version of the weights is the engines' own; its
/// field name is given to the constructor.
class event_stream_reader {
public:
    explicit event_stream_reader(std::string versionField);

    /// Events that \a piece completes.
    std::vector<stream_event> read(std::string_view piece);
    /// Whether the body so far ends between two events.
    bool isBetweenEvents() const { return m_pending.empty(); }
    /// False once an event without a readable number, or one without an end, was seen.
    bool isValid() const { return m_isSound; }

private:
    std::optional<stream_event> parse(std::string_view block);

    std::string m_versionField;
    std::string m_pending;
    bool m_isSound = true;
};

}
