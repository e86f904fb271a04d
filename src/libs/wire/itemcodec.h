#pragma once

#include "journal.pb.h"

#include <rollout/journalrecord.h>

#include <string>

namespace ragwortreach {

/// Writes \a from, or all of it but the body of its request.
void writeItem(const batch_item& from, wire::JournalItem& to);
std::string encodeItemWithoutBody(const batch_item& item);
/// The item in \a from, whose body is moved out of it.
batch_item takeItem(wire::JournalItem& from);

}
