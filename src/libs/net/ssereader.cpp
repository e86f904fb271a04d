#include "ssereader.h"

namespace ragwortreach {

namespace {
    constexpr std::size_t maxEventBytes = std::size_t { 1024 } * 1024;
}

sse_reader::sse_reader(std::function<void(std::string_view)> onData)
    : m_onData(std::move(onData))
{
}

bool sse_reader::read(std::string_view piece)
{
    while (!m_isOverLimit && !piece.empty()) {
        const std::size_t lineEnd = piece.find('\n');
        m_line += piece.substr(0, lineEnd);
        m_isOverLimit = m_line.size() + m_data.size() > maxEventBytes;
        if (lineEnd == std::string_view::npos)
            break;
        piece.remove_prefix(lineEnd + 1);
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        const std::string line = std::exchange(m_line, {});
        readLine(line);
    }
    return !m_isOverLimit;
}

void sse_reader::readLine(std::string_view line)
{
    if (line.empty()) {
        const std::string data = std::exchange(m_data, {});
        if (!data.empty())
            m_onData(data);
        return;
    }
    if (!line.starts_with("data:"))
        return;
    line.remove_prefix(5);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!m_data.empty())
        m_data += '\n';
    m_data += line;
}

}
