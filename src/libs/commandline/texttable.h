#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortreach {

/// Table for a terminal, with columns as wide as their widest cell.
class text_table {
public:
    explicit text_table(std::vector<std::string> header);

    /// Adds a row with as many cells as the header has.
    void add(std::vector<std::string> cells);

    /// Lines with line ends.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
