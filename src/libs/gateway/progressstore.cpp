#include "progressstore.h"

#include "bootclock.h"
#include "newestpages.h"

#include <support/log.h>
#include <support/logline.h>
#include <wire/journalcodec.h>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.progress";
    /// When an owner fails, at most this much of the generation of each item is lost.
    constexpr duration saveInterval = std::chrono::milliseconds(700);

}

progress_store::progress_store(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, const std::string& writer,
    const batch_ledger& ledger, item_scheduler& scheduler, ragwortreach::log& logger)
    : m_log(log)
    , m_ledger(ledger)
    , m_scheduler(scheduler)
    , m_logger(logger)
    , m_writers(context, log, std::string(topicName), partitions, writer + "-progress")
{
}

void progress_store::tick(instant now)
{
    if (now - m_savedAt < saveInterval)
        return;
    m_savedAt = now;
    save();
    removeClosed();
}

void progress_store::save()
{
    for (item_progressed& text : m_scheduler.takeProgress(bootNow())) {
        const ledger_batch* const batch = m_ledger.find(text.batch);
        const std::optional<std::size_t> item = batch ? batch->indexOf(text.item) : std::nullopt;
        // A text too large for a record is no longer saved; the last version that fitted stays.
        if (!item || text.output.text.size() > maxRecordBytes)
            continue;
        const std::uint32_t partition = m_writers.partitionOf(batch->submission.model);
        // Skips the save while as many writes as the batch has items are pending: more would only queue up behind them.
        if (m_writers[partition].pendingWrites() > batch->items.size())
            continue;
        // Not retried: a missing text only costs the time to generate it again.
        const std::string key = text.batch + "/" + text.item;
        m_saved[key] = { text.batch, *item, partition };
        m_writers[partition].write({ { key, encodeJournalRecord(text), 0 } }, write_mode::FailOnRefusal, {});
        ++m_counters.saved;
    }
}

bool progress_store::isNeeded(const saved_text& text) const
{
    const ledger_batch* const batch = m_ledger.find(text.batch);
    return batch && batch->isOpen() && !batch->items[text.item].position;
}

void progress_store::removeClosed()
{
    for (std::map<std::string, saved_text, std::less<>>::iterator it = m_saved.begin(); it != m_saved.end();) {
        if (isNeeded(it->second)) {
            ++it;
            continue;
        }
        m_writers.remove(it->second.partition, { it->first });
        it = m_saved.erase(it);
    }
}

void progress_store::recover(const std::string& model, instant now)
{
    readNewestPages(m_log, m_writers.topicPartition(m_writers.partitionOf(model)), {}, [this, found = recovery { model, now, 0 }](const newest_records& saved) mutable {
        for (const keyed_record& record : saved.records)
            adoptSavedText(found, record);
        finish(found, saved.isDone);
    });
}

void progress_store::adoptSavedText(recovery& recovery, const keyed_record& record)
{
    const std::optional<journal_record> decoded = record.value ? decodeJournalRecord(*record.value) : std::nullopt;
    const item_progressed* const text = decoded ? std::get_if<item_progressed>(&*decoded) : nullptr;
    if (!text) {
        ++m_counters.unreadable;
        return;
    }
    const ledger_batch* const batch = m_ledger.find(text->batch);
    const std::optional<std::size_t> item = batch ? batch->indexOf(text->item) : std::nullopt;
    if (!item || batch->submission.model != recovery.model)
        return;
    m_saved[record.key] = { text->batch, *item, m_writers.partitionOf(recovery.model) };
    if (m_scheduler.adoptText(*batch, *item, text->output, bootNow())) {
        ++recovery.texts;
        ++m_counters.recovered;
    }
}

void progress_store::finish(const recovery& recovery, bool isComplete)
{
    if (!isComplete)
        ++m_counters.recoveriesFailed;
    const duration took = bootNow() - recovery.startedAt;
    m_logger.write(log_line(log_level::Info, "texts_recovered")
                       .with("model", recovery.model)
                       .with("texts", recovery.texts)
                       .with("outcome", isComplete ? "whole" : "the log does not answer")
                       .with("took_us", took.count()));
    m_scheduler.setRecovered(recovery.model);
}

}
