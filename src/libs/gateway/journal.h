#pragma once

#include "batchfetch.h"
#include "textstore.h"
#include "topicfollower.h"
#include "topicwriter.h"

#include <rollout/batchdirectory.h>
#include <rollout/batchledger.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Counts since the start of the process.
struct journal_counters {
    std::uint64_t recordsApplied = 0;
    std::uint64_t recordsUnreadable = 0;
    /// Batches whose records were read by their keys, and the cost of that.
    std::uint64_t batchesFetched = 0;
    std::uint64_t fetchedPages = 0;
    /// Bytes of keys and values of the batches.
    std::uint64_t fetchedBytes = 0;
};

struct journal_options {
    /// Number of partitions of the journal topic.
    std::uint32_t partitions = 1;
    /// Number of partitions of the topic for texts.
    std::uint32_t textPartitions = 1;
};

/// Journal of batches: writes records to the platform's log and applies the records of all daemons to a ledger.
///
/// All records of a batch are in one partition, so every daemon applies them in the same order. Each record has a key of
/// its own, so the log, which keeps the newest record of each key, keeps them all.
///
/// At its start a daemon reads only which batches there are. It follows those that are accepted from then on, and fetches
/// the others one by one when a call or their owner needs them. So a start costs the same however many results the log
/// keeps, also when all daemons start at once or the log has dropped its history.
class journal {
public:
    /// \a writer names this process instance; no other process instance ever has the same name. \a onChanged is called
    /// with each batch in the ledger that has changed, and \a onListed with each batch, in the order of their acceptance.
    journal(boost::asio::io_context& context, shared_log& log, const journal_options& options, std::string writer,
        std::function<void(const ledger_batch&)> onChanged, std::function<void(const batch_listed&)> onListed = {});

    /// Limit for sharedBytes() of a batch, so that its acceptance fits one append.
    static constexpr std::size_t maxSharedBytes = maxAppendBytes - std::size_t { 64 } * 1024;
    /// Upper bound of what all daemons have to read of a batch: everything but the contents that only a run needs, in bytes.
    static std::size_t sharedBytes(const batch_submission& batch);

    void start();
    void setPollInterval(duration pollInterval);
    /// Writes \a record. A long text of a result, and the contents of a batch that only a run needs, are stored in the
    /// text store, and the record refers to them.
    void write(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);
    /// The same for an acceptance, whose items are given up one by one as they are encoded.
    void write(batch_accepted record, write_mode mode, partition_writer::done_handler onDone);

    /// Adds the outlines of its items to \a batch; false if it is unknown or has another number of items.
    bool load(std::string_view batch, std::vector<loaded_item> items) { return m_ledger.load(batch, std::move(items)); }
    /// Drops what load() added.
    void unload(std::string_view batch) { m_ledger.unload(batch); }

    text_store& texts() { return m_texts; }
    const text_store& texts() const { return m_texts; }

    /// The batches that were followed or fetched.
    const batch_ledger& ledger() const { return m_ledger; }
    /// Whether the journal has the batch.
    bool isListed(std::string_view batch) const { return listing(batch) != nullptr; }
    /// What the journal lists of the batch, or null when it does not have it.
    const batch_listed* listing(std::string_view batch) const;
    /// Whether the journal has an end of the batch, be the batch listed or not.
    bool isEnded(std::string_view batch) const;
    /// Whether the ledger has all records on \a batch that confirmedAt() covers.
    bool isFollowed(std::string_view batch) const;
    /// Reads the records of a listed batch into the ledger, or resumes doing so after a failure; does nothing for a batch
    /// that is followed already.
    void fetch(std::string_view batch);
    /// Whether a request to the log for records of \a batch is under way.
    bool isFetching(std::string_view batch) const;
    /// Fetches what the owner of \a models needs: their open batches, and the last ended ones. Returns the models of which
    /// not all of that is in the ledger yet.
    std::set<std::string, std::less<>> fetchBatchesOf(const std::set<std::string, std::less<>>& models);
    /// Whether all that the owner of \a model needs is in the ledger.
    bool hasBatchesOf(const std::string& model) const;
    /// Forgets the batches that are closed and older than \a limit. Those of the models for which \a removesFromLog
    /// returns true are also removed from the log. One daemon has to do that, since the log would keep them for ever. The
    /// model is empty for ends of batches that were never accepted.
    void forgetBefore(instant limit, const std::function<bool(std::string_view model)>& removesFromLog);
    /// Ends the fetches that were not requested since \a limit.
    void dropIdleFetches(instant limit);
    /// Whether it is known of all partitions which batches they have.
    bool isReady() const;
    /// All records on \a batch that were written until this time have been read, if it is followed; if it is not listed,
    /// it was not accepted until this time.
    instant confirmedAt(std::string_view batch) const;
    /// The same for all batches.
    instant confirmedAt() const;
    /// Writes that are not appended yet, to the journal or the text store.
    std::size_t pendingWrites() const;
    const journal_counters& counters() const { return m_counters; }
    /// What the snapshots of all partitions have cost.
    snapshot_counters snapshots() const;
    /// Followers of all partitions.
    std::span<const std::unique_ptr<topic_follower>> followers() const { return m_followers; }

private:
    /// Keys of the records of a batch, for their removal from the log.
    struct batch_keys {
        /// Keys in the directory.
        std::vector<std::string> listings;
        std::vector<std::string> acceptances;
        std::vector<std::string> others;
        /// Contents that the acceptances refer to.
        std::vector<text_reference> contents;
    };

    using record_factory = std::function<journal_record(const text_reference&)>;

    /// Called with the outcome of the write of a text; writes the record that \a makeRecord makes from its reference.
    text_store::write_handler recordWriter(write_mode mode, partition_writer::done_handler onDone, record_factory makeRecord);
    void writeRecord(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);
    /// Appends the log records of \a record to \a encoded.
    void encodeInto(std::vector<keyed_record>& encoded, const journal_record& record);
    void removeFromLog(const std::string& batch);
    /// Parts of a record read so far.
    struct partial_record {
        std::string bytes;
        std::vector<std::string> keys;
    };

    /// Applies the directory of a partition. Records on its batches may have been missed since it was last read.
    void applySnapshot(std::uint32_t partition, std::span<const keyed_record> newRecords);
    void applyTail(std::span<const keyed_record> records);
    /// \a isFollowed: whether the other records of a batch that is listed for the first time come with the tail.
    void applyDirectoryRecord(const keyed_record& record, bool isFollowed);
    void applyBatchRecord(const keyed_record& record);
    /// Applies one record of the batch called \a name to the ledger; returns the batch if that changed it, else null.
    const ledger_batch* applyChunk(std::string_view name, const keyed_record& record);
    /// Decodes a record and counts it if it cannot be decoded.
    std::optional<journal_record> decode(std::string_view bytes);
    void addKeys(std::string_view name, const journal_record& record, std::vector<std::string> keys);
    void fetchNamed(const std::string& name);
    void applyFetched(const std::string& name);
    void dropRead(const std::string& name);
    void forget(const std::string& name);

    std::string m_writerName;
    std::uint64_t m_lastRecord = 0;
    std::function<void(const ledger_batch&)> m_onChanged;
    std::function<void(const batch_listed&)> m_onListed;
    shared_log& m_log;
    topic_writer m_writers;
    std::vector<std::unique_ptr<topic_follower>> m_followers;
    text_store m_texts;
    batch_ledger m_ledger;
    batch_directory m_directory;
    /// Fetches in progress, by the name of their batch.
    std::map<std::string, std::shared_ptr<batch_fetch>, std::less<>> m_fetches;
    /// Records that were split and whose last part has not been read yet, by writer and number.
    std::map<std::string, partial_record> m_chunks;
    /// By the name of the batch.
    std::map<std::string, batch_keys, std::less<>> m_keys;
    journal_counters m_counters;
};

}
