#pragma once

#include <rollout/usagerecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bytes of \a record as stored in the log (protobuf, usage.proto).
std::string encodeUsageRecord(const usage_record& record);

/// Decodes the output of encodeUsageRecord(); none when \a bytes do not parse or hold a record of an unknown kind.
std::optional<usage_record> decodeUsageRecord(std::string_view bytes);

}
