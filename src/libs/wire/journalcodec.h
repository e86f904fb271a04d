#pragma once

#include <rollout/journalrecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bytes of \a record as they stand in the journal (protobuf, journal.proto).
std::string encodeJournalRecord(const journal_record& record);

/// Empty for bytes that are no record of a known kind.
std::optional<journal_record> decodeJournalRecord(std::string_view bytes);

}
