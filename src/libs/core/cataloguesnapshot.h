#pragma once

#include "logrecord.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_table;

/// State of the catalogue up to an offset, the data of one record of the stream `catalogue-snapshots`.
struct catalogue_snapshot {
    /// All records below this offset are part of the state.
    std::uint64_t covered = 0;
    /// XXH3 of the text of the state.
    std::uint64_t hash = 0;
    /// JSON text of the state, with sorted keys and without blanks.
    std::string state;

    bool operator==(const catalogue_snapshot&) const = default;
};

/// Outcome of restore().
enum class restore_result {
    Restored,
    /// The snapshot covers no more than the table has already applied.
    Outdated,
    /// The state is malformed or does not have the hash that the snapshot names.
    Corrupt,
};

/// Snapshot of the present state of \a table.
catalogue_snapshot makeSnapshot(const catalogue_table& table);

/// JSON text of \a snapshot.
std::string encodeSnapshot(const catalogue_snapshot& snapshot);

/// Decodes the output of encodeSnapshot(); none when \a text is malformed or has another schema number.
std::optional<catalogue_snapshot> decodeSnapshot(std::string_view text);

/// Replaces the state of \a table by \a snapshot if this moves its position forward.
restore_result restore(catalogue_table& table, const catalogue_snapshot& snapshot);

/// Restores \a table from the valid snapshot among \a texts that covers most records.
///
/// The order of the texts does not matter, because a daemon that lags behind may have written the last one.
restore_result restoreBest(catalogue_table& table, std::span<const std::string> texts);

}
