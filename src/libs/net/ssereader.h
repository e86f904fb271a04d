#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortreach {

/// Parses a stream of server-sent events and reports the data of each event.
///
/// Source: WHATWG HTML, "Server-sent events"; only the field "data" is read.
class sse_reader {
public:
    explicit sse_reader(std::function<void(std::string_view)> onData);

    /// Parses the next piece of the body. Returns false once an event exceeds the size limit; the rest of the body is then
    /// ignored.
    bool read(std::string_view piece);

private:
    void readLine(std::string_view line);

    std::function<void(std::string_view)> m_onData;
    std::string m_line;
    std::string m_data;
    bool m_isOverLimit = false;
};

}
