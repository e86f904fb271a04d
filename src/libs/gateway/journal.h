#pragma once

#include "textstore.h"
#include "topicfollower.h"
#include "topicwriter.h"

#include <rollout/batchledger.h>
#include <rollout/sharedlog.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortreach {

/// Counts since the start of the process.
struct journal_counters {
    std::uint64_t recordsApplied = 0;
    std::uint64_t recordsUnreadable = 0;
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
class journal {
public:
    /// \a writer names this process instance; no other process instance ever has the same name. \a onChanged is called
    /// with each batch that a record changed.
    journal(boost::asio::io_context& context, shared_log& log, const journal_options& options, std::string writer,
        std::function<void(const ledger_batch&)> onChanged);

    void start();
    void setPollInterval(duration pollInterval);
    /// Writes \a record. A long text of a result, and the contents of a batch that only a run needs, are stored in the
    /// text store, and the record refers to them.
    void write(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);

    /// Adds \a contents, as read from the text store, to the items of \a batch; false if they belong to another batch or
    /// cannot be decoded.
    bool load(std::string_view batch, std::string_view contents);
    /// Body of \a item in the contents of a batch; nothing when they lack it or cannot be decoded.
    static std::optional<std::string> bodyOf(std::string_view contents, std::string_view item);
    /// Drops what load() added.
    void unload(std::string_view batch) { m_ledger.unload(batch); }

    text_store& texts() { return m_texts; }
    const text_store& texts() const { return m_texts; }

    const batch_ledger& ledger() const { return m_ledger; }
    /// Removes the batches that are closed and older than \a limit from the ledger. Those for which \a removesFromLog
    /// returns true are also removed from the log. One daemon has to do that, since the log would keep them for ever.
    void forgetBefore(instant limit, const std::function<bool(const ledger_batch&)>& removesFromLog);
    /// Whether all partitions have been read.
    bool isReady() const;
    /// All records on \a batch that were written until this time are in the ledger.
    instant confirmedAt(std::string_view batch) const;
    /// All records that were written until this time are in the ledger.
    instant confirmedAt() const;
    /// Writes that are not appended yet, to the journal or the text store.
    std::size_t pendingWrites() const;
    const journal_counters& counters() const { return m_counters; }
    /// What the snapshots of all partitions have cost.
    snapshot_counters snapshots() const;

private:
    /// Keys of the records of a batch, for their removal from the log.
    struct batch_keys {
        std::vector<std::string> acceptances;
        std::vector<std::string> others;
        /// Contents that the acceptances refer to.
        std::vector<text_reference> contents;
    };

    /// Identifies a text of a batch.
    struct text_name {
        std::string_view batch;
        std::string_view part;
    };

    void writeAcceptance(const batch_accepted& accepted, write_mode mode, partition_writer::done_handler onDone);
    /// Stores \a text, then writes the record that \a recordFactory makes from its reference.
    void writeTextThenRecord(const text_name& textName, std::string text, write_mode mode, partition_writer::done_handler onDone,
        std::function<journal_record(const text_reference&)> recordFactory);
    void writeRecord(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);
    void removeFromLog(const std::string& batch);
    /// Parts of a record read so far.
    struct partial_record {
        std::string bytes;
        std::vector<std::string> keys;
    };

    void apply(std::span<const keyed_record> records);
    void applyChunk(const keyed_record& record);
    void addKeys(const journal_record& record, std::vector<std::string> keys);

    std::string m_writerName;
    std::uint64_t m_lastRecord = 0;
    std::function<void(const ledger_batch&)> m_onChanged;
    topic_writer m_writers;
    std::vector<std::unique_ptr<topic_follower>> m_followers;
    text_store m_texts;
    batch_ledger m_ledger;
    /// Records that were split and whose last part has not been read yet, by writer and number.
    std::map<std::string, partial_record> m_chunks;
    std::map<std::string, batch_keys, std::less<>> m_keys;
    journal_counters m_counters;
};

}
