#pragma once

#include "batchledger.h"

#include <vector>

namespace ragwortreach {

/// Sorts the items of \a batch into the order in which they are started; returns indexes into its submission.
///
/// A trainer waits until most groups of a batch are complete, and a few items are many times longer than the others.
/// When there are fewer slots than items, a long item that starts last delays its group. So the groups that the trainer
/// waits for come first, their items in descending order of expected length. The groups with the longest items are
/// those that the trainer can do without; they come last.
std::vector<std::size_t> itemOrder(const ledger_batch& batch);

}
