#pragma once

namespace ragwortreach {

/// Exit code of the command line, see docs/COMMAND-LINE.md.
enum class exit_code {
    /// The command succeeded.
    Ok = 0,
    /// The daemon or a local check rejected the command: conflict, invalid entry, nothing found.
    Rejected = 1,
    /// The command line itself is wrong; nothing was sent.
    Usage = 2,
    /// The daemon could not be reached, or its answer was lost or could not be read.
    Unreachable = 3,
    /// The edit was accepted, but at least one VM did not confirm it in time.
    Unconfirmed = 4,
    /// Internal error of the command line.
    Internal = 5,
};

}
