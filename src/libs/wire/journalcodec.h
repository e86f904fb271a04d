#pragma once

#include <rollout/journalrecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Bytes of \a record as stored in the journal (protobuf, journal.proto).
std::string encodeJournalRecord(const journal_record& record);

/// Decodes the output of encodeJournalRecord(); none when \a bytes do not parse or hold a record of an unknown kind.
std::optional<journal_record> decodeJournalRecord(std::string_view bytes);

}
