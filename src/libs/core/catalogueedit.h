#pragma once

#include "catalogueentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Edit of the catalogue, the data of one record of the stream `catalogue`.
struct catalogue_edit {
    std::string entry;
    /// Revision of the entry that the edit replaces; 0 when the entry must not exist.
    std::uint64_t replaces = 0;
    std::string operatorName;
    /// New body; none deletes the entry.
    std::optional<catalogue_entry> body;

    bool operator==(const catalogue_edit&) const = default;
};

/// Reads an edit from JSON \a text.
///
/// Fails with EditInvalid; \a detail then names the key, its value and what was expected.
/// A schema number other than 1 fails in the same way.
std::error_code parseEdit(std::string_view text, catalogue_edit& edit, std::string& detail);

/// JSON text of \a edit, for the data of a record.
std::string toJson(const catalogue_edit& edit);

}
