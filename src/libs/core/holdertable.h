#pragma once

#include "logrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Process that may hold the lease on the weight roll-outs of a model in a data centre.
struct holder_identity {
    std::string vm;
    /// Start of the process in milliseconds since 1970; tells the process instances of a VM apart.
    std::uint64_t incarnation = 0;

    bool operator==(const holder_identity&) const = default;
};

/// Acquisition or renewal of a lease: the data of one record of the stream `holders`.
struct holder_record {
    std::string dataCentre;
    std::string model;
    holder_identity holder;

    bool operator==(const holder_record&) const = default;
};

/// Parses a record; empty when \a text is malformed or has another schema.
std::optional<holder_record> parseHolderRecord(std::string_view text);

/// JSON text of \a record.
std::string toJson(const holder_record& record);

/// Current holder of the lease of a model in a data centre.
struct holder_state {
    holder_identity holder;
    /// Offset of the holder's last record. Each weight load order carries it, so that engines can refuse orders of
    /// earlier holders.
    std::uint64_t fencing = 0;
    std::string recordId;

    bool operator==(const holder_state&) const = default;
};

/// Holders of all leases, built by applying the records of the stream `holders` in order: the latest record of a
/// model and data centre names the holder.
class holder_table {
public:
    /// Maximum number of pairs of model and data centre; records of further pairs are skipped.
    static constexpr std::size_t maxHolders = 1024;

    /// Applies \a record. Records below position() have no effect; malformed ones are skipped and counted.
    void apply(const log_record& record);

    /// Moves the position to \a offset, because the log no longer holds the records in between.
    void skipTo(std::uint64_t offset);

    /// Holder of \a model in \a dataCentre; nullptr when there has been none.
    const holder_state* holder(std::string_view dataCentre, std::string_view model) const;

    /// Offset of the next record to apply.
    std::uint64_t position() const { return m_position; }
    std::uint64_t skippedRecords() const { return m_skippedRecords; }

private:
    std::map<std::string, holder_state, std::less<>> m_holders;
    std::uint64_t m_position = 0;
    std::uint64_t m_skippedRecords = 0;
};

}
