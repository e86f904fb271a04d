#pragma once

#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Sets the gflags flags named in \a arguments (argv with the program's name) and collects the other words.
///
/// Unlike gflags' own parser, a bad flag does not end the process: the call stops there and \a detail becomes a
/// sentence that names the flag, what was expected and the remedy. All words after "--" are collected.
std::error_code parseFlags(std::span<const char* const> arguments, std::vector<std::string>& words, std::string& detail);

/// Lists the program's flags with their meanings, types and defaults, one a line; those of gflags itself are left out.
std::string flagsText();

}
