#pragma once

#include "batchspec.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

enum class batch_state {
    Opened,
    Cancelled,
    Closed,
};

/// Record of the stream 'batches'.
struct batch_index_record {
    batch_state state = batch_state::Opened;
    std::string batch;
    /// Only an opening names the rest.
    std::string entry;
    std::string trainer;
    std::string dataCentre;
    /// contentHash() of the spec.
    std::string contentHash;

    bool operator==(const batch_index_record&) const = default;
};

/// What the fold made of a record.
enum class batch_index_verdict {
    Opened,
    /// The batch is known with the same content.
    Repeated,
    /// The batch is known with other content; the first opening stays.
    Conflict,
    Cancelled,
    Closed,
    /// Too many batches are open.
    Full,
    /// The record is malformed or has an unknown schema.
    Ignored,
};

/// Largest number of open batches in the whole fleet.
inline constexpr std::size_t maxOpenBatches = std::size_t { 16 } * 1024;
/// Largest number of batches that are remembered after their end.
inline constexpr std::size_t maxEndedBatches = std::size_t { 16 } * 1024;

/// Record that opens the batch of \a spec.
batch_index_record openingRecord(const batch_spec& spec);

/// JSON text for the log.
std::string toJson(const batch_index_record& record);

/// Empty when the record is malformed.
std::optional<batch_index_record> parseBatchIndexRecord(std::string_view json);

/// Fold of the stream 'batches': which batches there are, and with which content.
///
/// All readers of the same records reach the same state. The first opening of an id wins.
/// Each record leaves the same state when it is applied twice, so repeated record ids need no memory.
class batch_index_table {
public:
    struct entry {
        batch_index_record opening;
        batch_state state = batch_state::Opened;
    };

    /// Applies the data of the next record of the stream.
    batch_index_verdict apply(std::string_view data);

    /// Opening and state of \a batch; nullptr when it is not known.
    const entry* find(const std::string& batch) const;

    /// All batches that are known, by id.
    const std::map<std::string, entry>& batches() const { return m_batches; }
    std::size_t openBatches() const { return m_open; }
    std::uint64_t ignoredRecords() const { return m_ignored; }

private:
    batch_index_verdict open(const batch_index_record& record);
    batch_index_verdict end(const batch_index_record& record);

    std::map<std::string, entry> m_batches;
    std::deque<std::string> m_ended;
    std::size_t m_open = 0;
    std::uint64_t m_ignored = 0;
};

}
