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

/// Time within which a log that is busy with a fleet answers each read that it has accepted. A read that is given up sooner
/// has cost the log as much and helps nobody.
inline constexpr duration longestAnswerTime = std::chrono::seconds(5);

/// Record of a topic that keeps the newest record of each key.
struct keyed_record {
    std::string key;
    /// Empty when the record removes the key.
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    std::size_t bytes() const { return key.size() + (value ? value->size() : 0); }
};

/// Largest record that a reader takes unless it says otherwise, in bytes. Daemons write smaller ones.
inline constexpr std::size_t defaultMaxRecordBytes = std::size_t { 512 } * 1024;

/// Record that is larger than its reader takes.
struct oversized_record {
    /// Empty when it is not known.
    std::string key;
    std::uint64_t offset = 0;
    /// Size of key and value, with their framing; 0 when it is not known.
    std::size_t bytes = 0;
};

/// Partition of a topic of the log.
struct topic_partition {
    std::string topic;
    std::uint32_t partition = 0;
};

/// Result of an append.
enum class append_status {
    Done,
    /// Nothing was appended, and nothing of this attempt will be.
    Refused,
    /// As Refused, and the log will refuse the same records again, for example since they are too many for one append.
    Unacceptable,
    /// No answer arrived; the records may have been appended or may be appended seconds later.
    Unknown,
    /// A higher epoch of the producer was seen.
    Fenced,
    /// The sequence number of the append is not the next one of the producer.
    WrongSequence,
};

struct append_outcome {
    append_status status = append_status::Unknown;
    /// With Done, offset of the first record.
    std::optional<std::uint64_t> firstOffset {};
    /// With WrongSequence, the sequence number that the log expects.
    std::uint64_t expectedSequence = 0;
};

/// Identity of an append. An append that is repeated under the same identity is carried out once.
struct append_identity {
    std::string producer;
    std::uint64_t epoch = 1;
    std::uint64_t sequence = 0;
};

/// Range of records to read.
struct read_range {
    std::uint64_t from = 0;
    /// Longest time that the log waits for a record when there is none yet.
    duration wait {};
    /// Approximate limit for the size of the answer; the first record is sent whole, whatever its size.
    std::size_t maxBytes = std::size_t { 1024 } * 1024;
    /// Time until the answer has to begin, in addition to \a wait, and then until its next bytes have to arrive.
    duration slack = longestAnswerTime;
    /// Largest record that the reader takes, in bytes.
    std::size_t maxRecordBytes = defaultMaxRecordBytes;
    /// Whether an open connection may be used; it may have gone silent.
    bool mayReuseConnection = true;
};

/// Newest records of a partition to read.
struct newest_range {
    /// The page begins after this key.
    std::string_view afterKey;
    /// Largest record that the reader takes, in bytes.
    std::size_t maxRecordBytes = defaultMaxRecordBytes;
    /// Whether an open connection may be used; it may have gone silent.
    bool mayReuseConnection = true;
};

enum class read_status {
    Done,
    /// The log no longer retains the record at the offset.
    Expired,
    /// The log answered that it does not serve the read. It may serve others.
    Refused,
    /// No answer, or none that can be read.
    Unavailable,
};

struct read_outcome {
    read_status status = read_status::Unavailable;
    std::vector<keyed_record> records;
    /// Offset after the last record of the partition.
    std::uint64_t end = 0;
    /// With Expired, the first offset that the log retains; 0 when it did not say so.
    std::uint64_t firstRetained = 0;
    /// With Done, the record after \c records, if it is larger than the reader takes.
    std::optional<oversized_record> oversized {};
    /// With Refused and Unavailable, what happened.
    std::string detail {};
};

/// Handlers of a read.
struct read_handlers {
    /// The read has ended; called once, last.
    std::function<void(const read_outcome&)> onDone;
    /// Optional: a part of the answer has arrived. \a end is the offset after the last record of the partition.
    std::function<void(std::uint64_t end)> onProgress {};
};

/// One page of the newest record of each key.
struct newest_outcome {
    bool isDone = false;
    /// The log answered that it does not serve the read. It may serve others.
    bool isRefused = false;
    std::vector<keyed_record> records;
    bool hasMore = false;
    std::uint64_t end = 0;
    /// The page has a record that is larger than the reader takes, and was not read.
    bool isOversized = false;
    /// Without isDone, what happened.
    std::string detail {};
};

/// Interface of the platform's log. Handlers are called from the event loop, never from within the call.
class shared_log {
public:
    virtual ~shared_log() = default;

    /// Appends \a records in order.
    virtual void append(const topic_partition& partition, const append_identity& identity, std::span<const keyed_record> records,
        std::function<void(const append_outcome&)> onDone)
        = 0;
    /// Reads records in the order of their offsets.
    virtual void read(const topic_partition& partition, const read_range& range, read_handlers handlers) = 0;
    /// Reads the newest record of each key of \a range, one page per call.
    virtual void readNewest(const topic_partition& partition, const newest_range& range, std::function<void(const newest_outcome&)> onDone) = 0;
};

}
