#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Command-line flag that overrides one setting.
struct settings_flag {
    /// Name of the flag, without dashes.
    std::string_view flag;
    /// JSON pointer of the setting.
    std::string_view pointer;
};

/// All flags that override settings.
std::span<const settings_flag> settingsFlags();

/// JSON object with the settings that flags of the command line override.
///
/// Numbers are written as numbers, but for names (vm, data_centre, region), and anything else as strings, so that the
/// schema checks flags like the settings file.
std::string settingsFlagsAsJson();

}
