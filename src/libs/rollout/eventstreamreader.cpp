#include "eventstreamreader.h"

#include <charconv>

namespace ragwortreach {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    /// Size limit of an event; more bytes without an event end are not taken for an event stream.
    constexpr std::size_t maxEventBytes = std::size_t { 256 } * 1024;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const std::from_chars_result result = std::from_chars(text.begin(), text.end(), number);
        if (result.ec != std::errc() || result.ptr != text.end())
            return std::nullopt;
        return number;
    }

    /// Value of a field without the optional space before it.
    std::string_view fieldValue(std::string_view line, std::size_t colon)
    {
        if (colon == std::string_view::npos)
            return {};
        line.remove_prefix(colon + 1);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }

}

event_stream_reader::event_stream_reader(std::string versionField)
    : m_versionField(std::move(versionField))
{
}

std::vector<stream_event> event_stream_reader::read(std::string_view piece)
{
    for (const char byte : piece) {
        if (byte != '\r')
            m_pending += byte;
    }
    std::vector<stream_event> events;
    std::size_t begin = 0;
    std::size_t end = m_pending.find(eventEnd);
    while (end != std::string::npos) {
        const std::size_t next = end + eventEnd.size();
        std::optional<stream_event> event = parse(std::string_view(m_pending).substr(begin, next - begin));
        if (event)
            events.push_back(std::move(*event));
        begin = next;
        end = m_pending.find(eventEnd, begin);
    }
    m_pending.erase(0, begin);
    if (m_pending.size() > maxEventBytes) {
        m_pending = {};
        m_isValid = false;
    }
    return events;
}

std::optional<stream_event> event_stream_reader::parse(std::string_view block)
{
    stream_event event;
    event.bytes = block;
    bool hasId = false;
    bool hasData = false;
    while (!block.empty()) {
        const std::size_t lineEnd = block.find('\n');
        const std::string_view line = block.substr(0, lineEnd);
        block.remove_prefix(lineEnd + 1);
        const std::size_t colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = fieldValue(line, colon);
        if (name == "id") {
            const std::optional<std::uint64_t> id = parseNumber(value);
            hasId = id.has_value();
            event.id = id.value_or(0);
        } else if (name == "data") {
            if (hasData)
                event.data += '\n';
            event.data += value;
            hasData = true;
        } else if (name == m_versionField) {
            event.weightVersion = parseNumber(value);
            m_isValid = m_isValid && event.weightVersion.has_value();
        }
    }
    if (!hasId && !hasData)
        return std::nullopt;
    m_isValid = m_isValid && hasId;
    return event;
}

}
