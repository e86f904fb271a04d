#pragma once

#include "newestpages.h"

#include <rollout/sharedlog.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ragwortreach {

/// Read of all records of one batch from the pages of newest records.
///
/// Pages are no snapshot, and records of the batch may be appended during the read. So the read takes the records before
/// the end that the first page named, and the later ones from the tail, which its owner passes on.
class batch_fetch : public std::enable_shared_from_this<batch_fetch> {
public:
    /// \a onDone is called once all pages have been read, unless the fetch is destroyed before.
    batch_fetch(shared_log& log, topic_partition topicPartition, std::string prefix, std::function<void()> onDone);

    /// Starts the read, or resumes it after the pages that it has when reading one failed and the pause after that is over.
    void read(instant now);
    /// To be called with each record of the batch in the tail from the time of the first read() on.
    void addTailRecord(const keyed_record& record) { m_tail.push_back(record); }
    /// All records in the order of their offsets.
    std::vector<keyed_record> takeRecords();

    /// Whether a page is being read.
    bool isReading() const { return m_isReading; }
    /// Time of the last read().
    instant requestedAt() const { return m_requestedAt; }
    std::uint32_t partition() const { return m_topicPartition.partition; }
    const newest_records& newest() const { return m_newest; }

private:
    void onRead(newest_records newest);

    shared_log& m_log;
    topic_partition m_topicPartition;
    std::string m_prefix;
    std::function<void()> m_onDone;
    bool m_isReading = false;
    instant m_notBefore {};
    instant m_requestedAt {};
    newest_records m_newest;
    std::vector<keyed_record> m_tail;
    std::minstd_rand m_random;
};

}
