#pragma once

#include <rollout/sharedlog.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Which newest records of a partition to read.
struct newest_query {
    topic_partition topicPartition;
    /// Only keys that begin with this.
    std::string prefix;
    /// Largest record that is taken, in bytes.
    std::size_t maxRecordBytes = defaultMaxRecordBytes;
};

/// Newest record of each key of a partition, collected from several pages.
struct newest_records {
    /// False when reading a page failed; the records are then those of the pages before it.
    bool isDone = false;
    /// The log answered that it does not serve the page that failed.
    bool isRefused = false;
    /// The page that failed has a record that is larger than is taken.
    bool isOversized = false;
    /// What happened to the page that failed.
    std::string detail {};
    /// In the order of their keys. The pages are not a consistent snapshot: some records may have been written after the
    /// first page was read.
    std::vector<keyed_record> records;
    /// End of the partition when the first page was read.
    std::uint64_t end = 0;
    /// At least one page was read, so \c end is known.
    bool hasEnd = false;
    /// Last key of the pages read; the next page begins after it.
    std::string lastKey;
    /// Number of pages read, and bytes of all their keys and values.
    std::uint64_t pages = 0;
    std::uint64_t bytes = 0;
    /// Requests that were sent while a page was overdue, since one was last answered soon.
    std::size_t overdueRequests = 0;
};

/// Sorts the records by their offsets, and returns those before the end that the first page named. The later ones come with
/// the tail, in order.
std::span<keyed_record> sortByOffset(newest_records& newest);
/// Resumes a read of \a query after the pages in \a previous, or begins it.
void continueNewestPages(shared_log& log, const newest_query& query, newest_records previous, std::function<void(newest_records)> onDone);
/// As continueNewestPages(), but requests a page that is overdue again over new connections, and the first answer counts.
///
/// An open connection may have gone silent in an outage. The log may also be busy with the pages of a fleet, and sends each
/// answer whether or not its reader still waits. So at most two such requests are sent until one is answered soon; a log that
/// is slow is waited for. For this to hold beyond one read, \a previous has the count of the read before.
void followNewestPages(boost::asio::io_context& context, shared_log& log, const newest_query& query, newest_records previous, std::function<void(newest_records)> onDone);

}
