#pragma once

#include <string>

namespace review {

/// Opens record.txt in \a folder.
void openRecord(const std::string& folder);
/// Adds a line with the time since openRecord().
void record(const std::string& line);
/// Whether the disruption is part of this run; the variable TROUBLE is 0 when it is not.
bool hasTrouble();

}
