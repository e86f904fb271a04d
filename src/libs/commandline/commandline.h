#pragma once

#include "commandenvironment.h"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Values of the flags that single commands take.
struct command_options {
    std::string subject;
    std::string since;
};

/// Runs the command that \a words name, such as { "catalogue", "get" }.
exit_code runCommand(const command_environment& environment, std::span<const std::string> words, const command_options& options);

/// Runs the command line \a arguments (argv with the program's name) against real daemons.
exit_code runCommandLine(std::span<const char* const> arguments, std::ostream& output, std::ostream& errors);

}
