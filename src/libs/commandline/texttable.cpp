#include "texttable.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr std::size_t columnGap = 2;

}

text_table::text_table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string>& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const std::vector<std::string>& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

}
