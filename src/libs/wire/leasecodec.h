#pragma once

#include <rollout/leasetable.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bytes of \a record as they stand in the log (protobuf, journal.proto).
std::string encodeLeaseRecord(const lease_record& record);

/// Empty for bytes that are no record of a known kind.
std::optional<lease_record> decodeLeaseRecord(std::string_view bytes);

}
