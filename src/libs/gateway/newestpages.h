#pragma once

#include <rollout/sharedlog.h>

#include <functional>
#include <string>
#include <vector>

namespace ragwortreach {

/// Newest records of the keys of a partition, from all pages.
struct newest_records {
    /// False when a page was not answered; the records are those of the pages before.
    bool isDone = false;
    /// In the order of their keys. Pages are no snapshot: some may have been written after the first page was read.
    std::vector<keyed_record> records;
    /// End of the partition when the first page was read.
    std::uint64_t end = 0;
    /// A page was read, so \c end is known.
    bool hasEnd = false;
    /// Key after which the next page begins.
    std::string lastKey;
};

/// Reads all pages of the keys that begin with \a prefix.
void readNewestPages(shared_log& log, const topic_partition& topicPartition, const std::string& prefix, std::function<void(newest_records)> onDone);
/// Goes on after the pages that \a previous holds.
void continueNewestPages(shared_log& log, const topic_partition& topicPartition, newest_records previous, std::function<void(newest_records)> onDone);

}
