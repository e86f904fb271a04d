#pragma once

#include <rollout/leasetable.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bytes of \a record as stored in the log (protobuf, journal.proto).
std::string encodeLeaseRecord(const lease_record& record);

/// Decodes the output of encodeLeaseRecord(); none when \a bytes do not parse or hold a record of an unknown kind.
std::optional<lease_record> decodeLeaseRecord(std::string_view bytes);

}
