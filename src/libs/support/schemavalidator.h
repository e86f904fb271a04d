#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach::Internal {

/// Checks the JSON text \a document against the JSON schema \a schema (draft 4).
///
/// Returns SettingsUnreadable for malformed JSON, SettingsUnknownKey, SettingsWrongType or SettingsOutOfRange (also
/// for a missing key) for the first violation, and describes it in \a detail with the description from the schema.
std::error_code validateJson(std::string_view schema, std::string_view document, std::string& detail);

}
