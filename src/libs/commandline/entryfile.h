#pragma once

#include "commandenvironment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Edit of one entry in a catalogue file.
struct entry_file_item {
    std::string entry;
    /// Revision that the edit is based on, if the file names one; 0 for an entry that must not exist.
    std::optional<std::uint64_t> revision;
    /// JSON text of the body in the file, without defaults filled in; empty to delete the entry.
    std::string body;
};

/// Reads a catalogue file: `{"entry", "revision" (optional), "body"}`, or `{"entry", "action": "delete"}`, or
/// an array of these.
///
/// Each body is checked against the schema of entries. A failure names the file, and for an invalid body the entry and the
/// key.
std::variant<std::vector<entry_file_item>, command_failure> readEntryFile(const std::string& path);

/// Like readEntryFile(), for a file with the contents \a text.
std::variant<std::vector<entry_file_item>, command_failure> parseEntryFile(const std::string& path, std::string_view text);

/// \a body with all keys present, in a fixed order; \a body unchanged when it is not a valid entry.
std::string canonicalBody(const std::string& body);

}
