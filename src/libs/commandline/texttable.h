#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortreach {

/// Table for a terminal, with columns as wide as their widest cell.
class text_table {
public:
    explicit text_table(std::vector<std::string> header);

    /// Adds a row. It is cut or filled with empty cells to the length of the header.
    void add(std::vector<std::string> cells);

    /// Header and rows, one line each, with a line end after each.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
