#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ragwortreach::StandIns {

/// Records from \a first up to, but without, \a last that reads leave out.
struct offset_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// Records of the append-only log, by stream. Knows nothing of record ids: the same id twice makes two records.
class stream_store {
public:
    /// Appends the array \a records and returns the offset of the first one.
    std::uint64_t append(const std::string& stream, const nlohmann::json& records);
    /// Keeps only the newest \a count records of each stream.
    void retain(std::size_t count);

    std::uint64_t firstRetained(const std::string& stream) const;
    std::uint64_t end(const std::string& stream) const;
    /// Up to \a max records from offset \a from, as the log answers them.
    nlohmann::json read(const std::string& stream, std::uint64_t from, std::size_t max, offset_range gap) const;

private:
    struct stream_records {
        std::uint64_t first = 0;
        std::deque<nlohmann::json> records;
    };

    std::map<std::string, stream_records> m_streams;
};

}
