#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_table;
struct edit_verdict;

/// JSON answer to an edit: offset and revision when it was accepted, else a problem document with the present state
/// of the entry.
std::string verdictJson(const edit_verdict& verdict);

/// JSON text of the position and all entries.
std::string catalogueJson(const catalogue_table& table);

/// JSON text of the entry \a name with its revision; empty when there is no such entry.
std::string entryJson(const catalogue_table& table, std::string_view name);

/// JSON text of the latest edits of \a name, including rejected ones.
std::string historyJson(const catalogue_table& table, std::string_view name);

}
