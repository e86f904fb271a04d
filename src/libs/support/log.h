#pragma once

#include "settings.h"

#include <memory>
#include <string_view>
#include <system_error>

namespace ragwortreach {

class log_line;

/// Log of a process, written by log4cxx as one JSON object per line.
///
/// Writing to standard output does not block on its reader, and the rate of lines is limited per event. The next line
/// of an event that exceeded its limit gives the number of its missing lines in "left_out".
class log {
public:
    /// Lines carry \a vm as a field, so that the logs of several VMs can be merged.
    log(const log_settings& settings, std::string_view vm);
    ~log();
    log(const log&) = delete;
    log& operator=(const log&) = delete;

    /// result_code::SettingsOutOfRange when the log file cannot be opened, else no error.
    std::error_code error() const;

    /// Writes \a line when its level is enabled and the rate limit of its event allows it.
    void write(const log_line& line);

private:
    struct log_data;
    std::unique_ptr<log_data> m_data;
};

}
