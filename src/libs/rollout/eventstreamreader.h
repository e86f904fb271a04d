#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Server-sent event with the fields that model engines use.
struct stream_event {
    /// Number of the event in its stream, from 1 on.
    std::uint64_t id = 0;
    std::string data;
    /// Version of the weights from this event on; empty when the event names none.
    std::optional<std::uint64_t> weightVersion;
    /// The event as it arrived, with the blank line at its end and without carriage returns.
    std::string bytes;
};

/// Splits a body of server-sent events into complete events. An event that is truncated by the end of the body is
/// dropped.
///
/// Source: WHATWG HTML, "Server-sent events". The field with the version of the weights is an extension of the model
/// engines; its name is passed to the constructor.
class event_stream_reader {
public:
    explicit event_stream_reader(std::string versionField);

    /// Appends \a piece to the body and returns the events that it completes.
    std::vector<stream_event> read(std::string_view piece);
    /// Whether the body read so far ends at the end of an event.
    bool isBetweenEvents() const { return m_pending.empty(); }
    /// False once an event had no valid id or version of the weights, or exceeded the size limit.
    bool isValid() const { return m_isValid; }

private:
    std::optional<stream_event> parse(std::string_view block);

    std::string m_versionField;
    std::string m_pending;
    bool m_isValid = true;
};

}
