#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_table;
struct edit_verdict;

/// Answer to an edit: acceptance with offset and revision, or a problem document with what stands now.
std::string verdictJson(const edit_verdict& verdict);

/// Position and all entries.
std::string catalogueJson(const catalogue_table& table);

/// Entry \a name with its revision; empty when there is none.
std::string entryJson(const catalogue_table& table, std::string_view name);

/// Latest edits of \a name, rejected ones included.
std::string historyJson(const catalogue_table& table, std::string_view name);

}
