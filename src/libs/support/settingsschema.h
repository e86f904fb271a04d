#pragma once

#include <string_view>

namespace ragwortreach {

/// JSON schema (draft 4) of the settings of the daemon, as published in docs/settings.schema.json.
///
/// The description of each key says what is expected there; messages about bad settings quote it.
std::string_view settingsSchema();

}
