#pragma once

#include "batchledger.h"

#include <vector>

namespace ragwortreach {

/// Order in which the items of \a batch start, as indexes into its submission.
///
/// Load pattern: a trainer waits for most groups of a batch, complete, and a few items are many times longer than the
/// others. With less room than items, a long item that starts last makes its group late. So the longest expected items
/// of the groups that the trainer waits for come first. The groups that it can do without are those with the longest
/// items; they come last.
std::vector<std::size_t> itemOrder(const ledger_batch& batch);

}
