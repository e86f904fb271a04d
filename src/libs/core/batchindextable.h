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

/// State of a batch according to the stream 'batches'. Cancelled and Closed are final.
enum class batch_state {
    Opened,
    /// The trainer cancelled the batch.
    Cancelled,
    /// The trainer holds all samples.
    Closed,
};

/// Record of the stream 'batches'.
struct batch_index_record {
    batch_state state = batch_state::Opened;
    std::string batch;
    /// This and the fields below are empty unless the state is Opened.
    std::string entry;
    std::string trainer;
    std::string dataCentre;
    /// contentHash() of the spec.
    std::string contentHash;

    bool operator==(const batch_index_record&) const = default;
};

/// Effect of a record on the table.
enum class batch_index_result {
    Opened,
    /// The batch is already open with the same content, or already ended; the record has no effect.
    Repeated,
    /// The batch was opened earlier with other content; the first opening stays in force.
    Conflict,
    Cancelled,
    Closed,
    /// maxOpenBatches are open; the opening has no effect.
    Full,
    /// The record is malformed, has an unknown schema, or ends a batch that is not known.
    Ignored,
};

/// Largest number of open batches in the whole fleet.
inline constexpr std::size_t maxOpenBatches = std::size_t { 16 } * 1024;
/// Largest number of ended batches that are remembered; the oldest are dropped first.
inline constexpr std::size_t maxEndedBatches = std::size_t { 16 } * 1024;

/// Record that opens the batch \a spec.
batch_index_record openingRecord(const batch_spec& spec);

/// JSON text for the log.
std::string toJson(const batch_index_record& record);

/// Empty when the record is malformed.
std::optional<batch_index_record> parseBatchIndexRecord(std::string_view json);

/// All batches with their state, built by applying the records of the stream 'batches' in order.
///
/// All readers of the same records reach the same state. The first opening of an id wins. Applying a record is
/// idempotent, so record ids need not be remembered to filter repeated records.
class batch_index_table {
public:
    /// One batch: its first opening and its present state.
    struct entry {
        batch_index_record opening;
        batch_state state = batch_state::Opened;
    };

    /// Applies the data of the next record of the stream.
    batch_index_result apply(std::string_view data);

    /// \a batch, or nullptr when it is not known.
    const entry* find(const std::string& batch) const;

    /// All known batches by id.
    const std::map<std::string, entry>& batches() const { return m_batches; }
    std::size_t openBatches() const { return m_open; }
    std::uint64_t ignoredRecords() const { return m_ignored; }

private:
    batch_index_result open(const batch_index_record& record);
    batch_index_result end(const batch_index_record& record);

    std::map<std::string, entry> m_batches;
    /// Ids of ended batches, oldest first.
    std::deque<std::string> m_ended;
    std::size_t m_open = 0;
    std::uint64_t m_ignored = 0;
};

}
