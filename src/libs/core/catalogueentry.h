#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Who waits for the answers of an entry.
enum class entry_class {
    Customer,
    Training,
};

/// What an entry routes to.
enum class entry_kind {
    Model,
    Service,
};

/// Objective of generating ahead of the trainer: low staleness or low trainer idle time.
enum class look_ahead {
    Fresh,
    Busy,
};

/// What happens to calls of a non-idempotent entry while the log cannot record their keys.
enum class log_outage {
    Refuse,
    RunOnce,
};

/// Limits of one entry over the whole fleet.
struct entry_limits {
    std::uint32_t requestsPerSecond = 100;
    std::uint32_t inFlight = 100;
    std::uint32_t queue = 200;

    bool operator==(const entry_limits&) const = default;
};

/// Oldest sample that may be delivered to a trainer.
struct staleness_bound {
    /// Number of versions that a sample may be behind the trainer.
    std::uint64_t versions = 0;
    /// Time since the first stream of the sample was started; empty for no limit.
    std::optional<duration> age;

    bool operator==(const staleness_bound&) const = default;
};

/// Body of a catalogue entry.
struct catalogue_entry {
    std::string owner;
    entry_class entryClass = entry_class::Customer;
    entry_kind kind = entry_kind::Service;
    std::string upstream;
    /// Upstream that scores samples; empty when the entry has none.
    std::string scorer;
    /// Time that a call may take when the caller names none.
    duration timeout = std::chrono::seconds(30);
    /// Calls may be repeated only when this is set.
    bool idempotent = false;
    entry_limits limits;
    staleness_bound staleness;
    look_ahead lookAhead = look_ahead::Fresh;
    log_outage logOutage = log_outage::Refuse;

    bool operator==(const catalogue_entry&) const = default;
};

/// Reads the body of an entry from JSON \a text and checks it against catalogueSchema().
///
/// Fails with EditInvalid; \a detail then names the key, its value and what was expected.
std::error_code parseEntry(std::string_view text, catalogue_entry& entry, std::string& detail);

/// Canonical JSON text of \a entry: keys are sorted, and only an unlimited staleness age is left out.
std::string toJson(const catalogue_entry& entry);

/// Whether \a name can name an entry: 1 to 64 letters, digits, '.', '_' and '-'.
bool isEntryName(std::string_view name);

}
