#pragma once

#include "settings.h"

#include <memory>
#include <string_view>
#include <system_error>

namespace ragwortreach {

class log_line;

/// Log of a process, written by log4cxx as one JSON object a line.
///
/// Lines to standard output never wait for its reader, and each kind of event has a budget of lines. The next line of a
/// kind that went over its budget says in "left_out" how many lines of it are missing.
class log {
public:
    /// Lines carry \a vm as a field, so that the logs of several VMs can be merged.
    log(const log_settings& settings, std::string_view vm);
    ~log();
    log(const log&) = delete;
    log& operator=(const log&) = delete;

    /// result_code::SettingsOutOfRange when the log file cannot be opened, else no error.
    std::error_code error() const;

    /// Writes \a line when its level is logged and its kind is within its budget.
    void write(const log_line& line);

private:
    struct log_data;
    std::unique_ptr<log_data> m_data;
};

}
