#pragma once

#include "commandenvironment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// One entry of a file for the catalogue.
struct entry_file_item {
    std::string entry;
    /// Revision that the edit is based on, where the file names one; 0 for an entry that must not exist.
    std::optional<std::uint64_t> revision;
    /// Body as it stands in the file, as JSON text; empty when the file asks to delete the entry.
    std::string body;
};

/// Reads a file for the catalogue: `{"entry", "revision" (optional), "body"}`, or `{"entry", "action": "delete"}`, or
/// an array of these.
///
/// Each body is checked against the schema of entries; the failure names the file, the entry and the key.
std::variant<std::vector<entry_file_item>, command_failure> readEntryFile(const std::string& path);

/// Like readEntryFile(), for a file with the contents \a text.
std::variant<std::vector<entry_file_item>, command_failure> parseEntryFile(const std::string& path, std::string_view text);

/// \a body with every key present and in order; \a body itself when it is no valid entry.
std::string canonicalBody(const std::string& body);

}
