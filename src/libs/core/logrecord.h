#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace ragwortreach {

/// Longest id of a record, in bytes.
constexpr std::size_t maxRecordIdLength = 128;

/// Record of a stream of the log service.
struct log_record {
    /// Position in the stream, counted from 0.
    std::uint64_t offset = 0;
    /// Unique id chosen by the writer before its first attempt to append. An append that is repeated
    /// keeps the id, so that readers recognise the second record as a duplicate.
    std::string id;
    /// JSON text.
    std::string data;

    bool operator==(const log_record&) const = default;
};

}
