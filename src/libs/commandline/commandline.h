#pragma once

#include "commandenvironment.h"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Values of the flags that only some commands use.
struct command_options {
    /// Id that selects the events of the time line.
    std::string subject;
    /// Start of the time range, in the syntax of parseSince().
    std::string since;
};

/// Runs the command that \a positionalArguments name, such as { "catalogue", "get" }.
exit_code runCommand(const command_environment& environment, std::span<const std::string> positionalArguments, const command_options& options);

/// Runs the command line \a arguments (argv with the program name) against the daemons that the flags name.
exit_code runCommandLine(std::span<const char* const> arguments, std::ostream& output, std::ostream& errors);

}
