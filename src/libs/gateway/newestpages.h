#pragma once

#include <rollout/sharedlog.h>

#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

/// Newest records of the keys of a partition, from all pages.
struct newest_records {
    /// False when the log did not answer.
    bool isDone = false;
    /// In the order of their keys. Pages are no snapshot: some may have been written after the first page was read.
    std::vector<keyed_record> records;
    /// End of the partition when the first page was read.
    std::uint64_t end = 0;
};

/// Reads all pages of the keys that begin with \a prefix.
void readNewestPages(shared_log& log, const topic_partition& where, const std::string& prefix, std::function<void(newest_records)> onDone);

}
