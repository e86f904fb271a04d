#pragma once

#include <core/instant.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Record of a topic that keeps the newest record of each key.
struct keyed_record {
    std::string key;
    /// Empty when the key was removed.
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// Partition of a topic of the log.
struct topic_partition {
    std::string topic;
    std::uint32_t partition = 0;
};

/// Outcome of an append.
enum class append_status {
    Done,
    /// Nothing was appended, and nothing will be.
    Refused,
    /// No answer came; the records may be appended, even seconds later.
    Unknown,
    /// A higher epoch of the producer was seen.
    Fenced,
    /// The number of the append is not the next one of the producer.
    WrongSequence,
};

struct append_outcome {
    append_status status = append_status::Unknown;
    /// With Done, offset of the first record.
    std::optional<std::uint64_t> firstOffset {};
    /// With WrongSequence, the number that the log expects.
    std::uint64_t expectedSequence = 0;
};

/// Identity of an append. An append that is repeated under the same numbers is carried out once.
struct append_identity {
    std::string producer;
    std::uint64_t epoch = 1;
    std::uint64_t sequence = 0;
};

/// Records that a read asks for.
struct read_range {
    std::uint64_t from = 0;
    /// Time that the read waits for a record.
    duration wait {};
    /// Bytes after which the answer ends.
    std::size_t maxBytes = std::size_t { 1024 } * 1024;
    /// Time for the answer beyond the time that the read waits.
    duration slack = std::chrono::milliseconds(900);
};

enum class read_status {
    Done,
    /// The log no longer holds records from the offset on.
    Expired,
    Unavailable,
};

struct read_outcome {
    read_status status = read_status::Unavailable;
    std::vector<keyed_record> records;
    /// Offset after the last record of the partition.
    std::uint64_t end = 0;
};

/// One page of the newest records of all keys.
struct newest_outcome {
    bool isDone = false;
    std::vector<keyed_record> records;
    bool hasMore = false;
    std::uint64_t end = 0;
};

/// The platform's log, as the rest of the program uses it. Answers come from the event loop, never from the call.
class shared_log {
public:
    virtual ~shared_log() = default;

    virtual void append(const topic_partition& where, const append_identity& identity, std::span<const keyed_record> records,
        std::function<void(const append_outcome&)> onDone)
        = 0;
    virtual void read(const topic_partition& where, const read_range& range, std::function<void(const read_outcome&)> onDone) = 0;
    /// Newest records of the keys after \a afterKey.
    virtual void readNewest(const topic_partition& where, std::string_view afterKey, std::function<void(const newest_outcome&)> onDone) = 0;
};

}
