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

struct journal_counters {
    std::uint64_t recordsApplied = 0;
    std::uint64_t recordsUnreadable = 0;
};

struct journal_options {
    /// Partitions of the journal itself.
    std::uint32_t partitions = 1;
    /// Partitions of the texts of results.
    std::uint32_t textPartitions = 1;
};

/// The journal of batches: writes records and folds what all daemons wrote into a ledger.
///
/// A batch and all that is said of it stand in one partition, so their records have one order. Records have keys that
/// are never written twice, so the log keeps them all.
class journal {
public:
    /// \a writer names this life of the process; no other process ever has the same name.
    journal(boost::asio::io_context& context, shared_log& log, const journal_options& options, std::string writer,
        std::function<void(const ledger_batch&)> onChanged);

    void start();
    void setPollInterval(duration pollInterval);
    /// A long text of a result, and what only a run needs of a batch, are written apart from the record.
    void write(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);

    /// Takes what the record of \a batch lacked, as it was read from the texts; false for contents of another batch.
    bool load(std::string_view batch, std::string_view contents);
    /// Body of \a item in the contents of a batch.
    static std::optional<std::string> bodyOf(std::string_view contents, std::string_view item);
    void unload(std::string_view batch) { m_ledger.unload(batch); }

    text_store& texts() { return m_texts; }
    const text_store& texts() const { return m_texts; }

    const batch_ledger& ledger() const { return m_ledger; }
    /// Forgets the batches that are closed and older than \a limit. Those for which \a removesFromLog says so are removed from
    /// the log, too; one daemon has to, since the log keeps them for good otherwise.
    void forgetBefore(instant limit, const std::function<bool(const ledger_batch&)>& removesFromLog);
    bool isReady() const;
    /// All that was written on \a batch until then is in the ledger.
    instant confirmedAt(std::string_view batch) const;
    /// All that was written until then is in the ledger.
    instant confirmedAt() const;
    std::size_t pendingWrites() const;
    const journal_counters& counters() const { return m_counters; }

private:
    /// Keys of the records of a batch.
    struct batch_keys {
        std::vector<std::string> acceptances;
        std::vector<std::string> others;
        /// Contents that the acceptances name.
        std::vector<text_reference> contents;
    };

    /// Names a text of a batch.
    struct text_name {
        std::string_view batch;
        std::string_view part;
    };

    void writeAcceptance(const batch_accepted& accepted, write_mode mode, partition_writer::done_handler onDone);
    void writeTextThenRecord(const text_name& textName, std::string text, write_mode mode, partition_writer::done_handler onDone,
        std::function<journal_record(const text_reference&)> recordFactory);
    void writeRecord(const journal_record& record, write_mode mode, partition_writer::done_handler onDone);
    void removeFromLog(const std::string& batch);
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
    /// Records that were cut into several, by writer and number, until the last part comes.
    std::map<std::string, partial_record> m_chunks;
    std::map<std::string, batch_keys, std::less<>> m_keys;
    journal_counters m_counters;
};

}
