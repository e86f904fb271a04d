#pragma once

#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Sets the gflags flags named in \a arguments (argv with the program name) and appends the other arguments to
/// \a positionalArguments.
///
/// Unlike the parser of gflags, a bad flag does not end the process: parsing stops there and \a detail names the flag,
/// what was expected and the remedy. The error is SettingsUnknownKey, SettingsWrongType or, for a missing value,
/// SettingsOutOfRange. All arguments after "--" are positional.
std::error_code parseFlags(std::span<const char* const> arguments, std::vector<std::string>& positionalArguments, std::string& detail);

/// Help text: the flags of the program with their descriptions, types and defaults, one per line, without the flags of
/// gflags itself.
std::string flagsText();

}
