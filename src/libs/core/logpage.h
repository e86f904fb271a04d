#pragma once

#include "logrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortreach {

/// Record to append to a stream; its id is unique and chosen by the writer.
struct log_append {
    std::string id;
    /// JSON text.
    std::string data;
};

/// Records read from a stream of the log.
struct log_page {
    /// First offset that the log still holds.
    std::uint64_t firstRetained = 0;
    /// Offset to read from next.
    std::uint64_t next = 0;
    /// Offset after the last record of the stream.
    std::uint64_t end = 0;
    std::vector<log_record> records;
};

}
