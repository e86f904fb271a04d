#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortreach {

/// Kind of traffic that an entry carries.
enum class entry_class {
    /// Requests of customers.
    Customer,
    /// Batches of trainers.
    Training,
};

/// Kind of upstream that an entry routes to.
enum class entry_kind {
    /// Model engine.
    Model,
    /// Plain service.
    Service,
};

/// Objective when samples are generated ahead of the trainer.
enum class look_ahead {
    /// Low staleness of the samples.
    Fresh,
    /// Low idle time of the trainer.
    Busy,
};

/// Handling of calls to a non-idempotent entry while the log is unreachable and their keys cannot be recorded.
enum class log_outage {
    /// Calls are refused.
    Refuse,
    /// Calls run once, without a recorded key.
    RunOnce,
};

/// Limits of one entry over all daemons of the fleet together.
struct entry_limits {
    std::uint32_t requestsPerSecond = 100;
    /// Calls that run at the same time.
    std::uint32_t inFlight = 100;
    /// Calls that wait to be run.
    std::uint32_t queue = 200;

    bool operator==(const entry_limits&) const = default;
};

/// Limits on the staleness of samples that are delivered to a trainer.
struct staleness_bound {
    /// Number of versions that a sample may be behind the trainer.
    std::uint64_t versions = 0;
    /// Longest time since the first stream of the sample was started; empty for no limit.
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
    /// Longest time that a call may take, also when the caller names none or a longer one.
    duration timeout = std::chrono::seconds(30);
    /// Whether calls may be repeated.
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
