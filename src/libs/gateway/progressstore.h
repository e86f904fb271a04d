#pragma once

#include "newestpages.h"
#include "topicwriter.h"

#include <rollout/batchledger.h>
#include <rollout/itemscheduler.h>
#include <rollout/sharedlog.h>

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct progress_counters {
    /// Texts that were saved while their items ran.
    std::uint64_t saved = 0;
    /// Texts that were saved when this daemon gave up their items, and their bytes.
    std::uint64_t handedOver = 0;
    std::uint64_t handedOverBytes = 0;
    /// Texts that were not saved since they do not fit into a record.
    std::uint64_t tooLarge = 0;
    std::uint64_t recovered = 0;
    /// Reads of saved texts that were resumed after a failed page.
    std::uint64_t recoveriesResumed = 0;
    std::uint64_t recoveriesFailed = 0;
    std::uint64_t unreadable = 0;
};

/// Saves the partial texts of long items while they run, and those of all items when this daemon gives them up, and reads
/// them back when this daemon takes a model over.
///
/// A few items take most of the time of a training step. Without their partial texts a step would start again when its
/// owner fails, and the trainer would be delayed by the duration of its longest item. The texts are stored in a topic that
/// only a new owner reads. They are not needed for correctness: a text that is missing or old costs the time to generate
/// it again.
class progress_store {
public:
    progress_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, const std::string& writer,
        const batch_ledger& ledger, item_scheduler& scheduler, ragwortreach::log& logger);

    /// Reads the texts that earlier owners of \a model saved, then lets the scheduler run its items. A failed read is
    /// resumed while the items wait for it. The open batches of the model have to be in the ledger.
    void recover(const std::string& model, instant now);
    /// Saves the texts of items that this daemon no longer runs. Their next owner finds them if they are appended before it
    /// takes over.
    void handOver(std::span<const item_progressed> texts);
    /// Resumes recoveries, saves texts that have grown and removes those no longer needed. To be called periodically.
    void tick(instant now);

    /// Writes that are not appended yet.
    std::size_t pendingWrites() const { return m_writers.pendingWrites(); }
    const progress_counters& counters() const { return m_counters; }

private:
    struct recovery {
        std::string model;
        instant startedAt {};
        std::size_t texts = 0;
        /// What was read so far; its records have been adopted.
        newest_records pages;
    };
    /// Text in the log.
    struct saved_text {
        std::string batch;
        std::string item;
        std::uint32_t partition = 0;
    };

    void read(recovery started);
    void onRead(recovery& recovery, newest_records read);
    void resumeRecoveries(instant now);
    void save();
    /// Writes \a text unless a later owner has no use for it; false if it was not written.
    bool write(const item_progressed& text, write_mode mode);
    void removeClosed();
    /// Whether a later owner has use for the text of \a item, which has no result yet.
    bool isNeeded(std::string_view batch, std::string_view item) const;
    void adoptSavedText(recovery& recovery, const keyed_record& record);
    void finish(const recovery& recovery);

    shared_log& m_log;
    const batch_ledger& m_ledger;
    item_scheduler& m_scheduler;
    ragwortreach::log& m_logger;
    topic_writer m_writers;
    /// Texts in the log that this process wrote or read, by key.
    std::map<std::string, saved_text, std::less<>> m_saved;
    /// Recoveries of which a page could not be read.
    std::vector<recovery> m_interrupted;
    instant m_resumedAt {};
    instant m_savedAt {};
    progress_counters m_counters;
};

}
