#pragma once

#include "logrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Process that may hold the roll-outs of weights of a model in a data centre.
struct holder_identity {
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const holder_identity&) const = default;
};

/// Acquisition or renewal, the data of one record of the stream `holders`.
struct holder_record {
    std::string dataCentre;
    std::string model;
    holder_identity holder;

    bool operator==(const holder_record&) const = default;
};

/// Reads a record; none when \a text is malformed or of another schema.
std::optional<holder_record> parseHolderRecord(std::string_view text);

/// JSON text of \a record.
std::string toJson(const holder_record& record);

/// Holder of a model in a data centre.
struct holder_state {
    holder_identity holder;
    /// Offset of the last record, sent along with each order so that engines can refuse older ones.
    std::uint64_t fencing = 0;
    std::string recordId;

    bool operator==(const holder_state&) const = default;
};

/// Deterministic fold of the stream `holders`: the latest record of a model and data centre names its holder.
class holder_table {
public:
    /// Pairs of model and data centre; records of further ones are skipped.
    static constexpr std::size_t maxHolders = 1024;

    /// Applies \a record. Records below the position have no effect, malformed ones are counted.
    void apply(const log_record& record);

    /// Continues at \a offset because the log holds nothing between the position and there.
    void skipTo(std::uint64_t offset);

    /// nullptr when nobody ever held it.
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
