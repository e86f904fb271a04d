#include "progressstore.h"

#include "bootclock.h"
#include "journalkeys.h"

#include <support/log.h>
#include <support/logline.h>
#include <wire/journalcodec.h>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.progress";
    /// When an owner fails, at most this much of the generation of each item is lost.
    constexpr duration saveInterval = std::chrono::milliseconds(700);
    /// Least time between two attempts to resume the recoveries.
    constexpr duration resumeInterval = std::chrono::milliseconds(100);

    /// Beginning of the keys of the texts of \a model, so that a new owner reads no others.
    std::string modelPrefix(std::string_view model)
    {
        return journalName(model) + '/';
    }

    std::string joined(const std::set<std::string, std::less<>>& names)
    {
        std::string list;
        for (const std::string& name : names)
            list += (list.empty() ? "" : " ") + name;
        return list;
    }

    std::string keyOf(std::string_view model, const item_progressed& text)
    {
        return modelPrefix(model) + journalName(text.batch) + '/' + journalName(text.item);
    }

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
    if (now - m_resumedAt >= resumeInterval) {
        m_resumedAt = now;
        resumeRecoveries(now);
    }
    if (now - m_savedAt < saveInterval)
        return;
    m_savedAt = now;
    save();
    removeClosed();
}

void progress_store::save()
{
    for (const item_progressed& text : m_scheduler.takeProgress(bootNow())) {
        const ledger_batch* const batch = m_ledger.find(text.batch);
        // Skips the save while as many writes as the batch has items are pending: more would only queue up behind them.
        if (!batch || m_writers[m_writers.partitionOf(batch->submission.model)].pendingWrites() > batch->items.size())
            continue;
        // Not retried: a missing text only costs the time to generate it again.
        m_counters.saved += write(text, write_mode::FailOnRefusal) ? 1 : 0;
    }
}

void progress_store::handOver(std::span<const item_progressed> texts)
{
    std::set<std::string, std::less<>> models;
    std::uint64_t count = 0;
    std::uint64_t bytes = 0;
    for (const item_progressed& text : texts) {
        if (!write(text, write_mode::RetryOnRefusal))
            continue;
        models.insert(m_ledger.find(text.batch)->submission.model);
        ++count;
        bytes += text.output.text.size();
    }
    if (count == 0)
        return;
    m_counters.handedOver += count;
    m_counters.handedOverBytes += bytes;
    m_logger.write(log_line(log_level::Info, "texts_handed_over").with("models", joined(models)).with("texts", count).with("bytes", bytes));
}

bool progress_store::write(const item_progressed& text, write_mode mode)
{
    if (!isNeeded(text.batch, text.item))
        return false;
    // A text too large for a record is no longer saved; the last version that fitted stays.
    if (text.output.text.size() > maxRecordBytes) {
        ++m_counters.tooLarge;
        return false;
    }
    const std::string& model = m_ledger.find(text.batch)->submission.model;
    const std::uint32_t partition = m_writers.partitionOf(model);
    const std::string key = keyOf(model, text);
    m_saved[key] = { text.batch, text.item, partition };
    m_writers[partition].write({ { key, encodeJournalRecord(text), 0 } }, mode, {});
    return true;
}

bool progress_store::isNeeded(std::string_view batch, std::string_view item) const
{
    const ledger_batch* const known = m_ledger.find(batch);
    const std::optional<std::size_t> index = known ? known->indexOf(item) : std::nullopt;
    return index && known->isOpen() && !known->items[*index].position;
}

void progress_store::removeClosed()
{
    for (std::map<std::string, saved_text, std::less<>>::iterator it = m_saved.begin(); it != m_saved.end();) {
        if (isNeeded(it->second.batch, it->second.item)) {
            ++it;
            continue;
        }
        m_writers.remove(it->second.partition, { it->first });
        it = m_saved.erase(it);
    }
}

void progress_store::recover(const std::string& model, instant now)
{
    std::erase_if(m_interrupted, [&model](const recovery& interrupted) { return interrupted.model == model; });
    read({ model, now, 0, {} });
}

void progress_store::read(recovery started)
{
    const topic_partition topicPartition = m_writers.topicPartition(m_writers.partitionOf(started.model));
    const std::string prefix = modelPrefix(started.model);
    newest_records previous = std::exchange(started.pages, {});
    continueNewestPages(m_log, { topicPartition, prefix }, std::move(previous),
        [this, recovery = std::move(started)](newest_records pages) mutable { onRead(recovery, std::move(pages)); });
}

void progress_store::onRead(recovery& recovery, newest_records read)
{
    for (const keyed_record& record : std::exchange(read.records, {}))
        adoptSavedText(recovery, record);
    recovery.pages = std::move(read);
    if (recovery.pages.isDone)
        finish(recovery);
    else
        m_interrupted.push_back(std::move(recovery));
}

void progress_store::resumeRecoveries(instant now)
{
    for (recovery& interrupted : std::exchange(m_interrupted, {})) {
        if (!m_scheduler.awaitsRecovery(interrupted.model, now)) {
            finish(interrupted);
            continue;
        }
        ++m_counters.recoveriesResumed;
        read(std::move(interrupted));
    }
}

void progress_store::adoptSavedText(recovery& recovery, const keyed_record& record)
{
    const std::optional<journal_record> decoded = record.value ? decodeJournalRecord(*record.value) : std::nullopt;
    const item_progressed* const text = decoded ? std::get_if<item_progressed>(&*decoded) : nullptr;
    if (!text) {
        ++m_counters.unreadable;
        return;
    }
    // Keys of former releases begin with the id of a batch, which may be that of a model, too.
    if (record.key != keyOf(recovery.model, *text))
        return;
    m_saved[record.key] = { text->batch, text->item, m_writers.partitionOf(recovery.model) };
    const ledger_batch* const batch = m_ledger.find(text->batch);
    const std::optional<std::size_t> item = batch ? batch->indexOf(text->item) : std::nullopt;
    if (item && m_scheduler.adoptText(*batch, *item, text->output, bootNow())) {
        ++recovery.texts;
        ++m_counters.recovered;
    }
}

void progress_store::finish(const recovery& recovery)
{
    const bool isComplete = recovery.pages.isDone;
    if (!isComplete)
        ++m_counters.recoveriesFailed;
    const duration took = bootNow() - recovery.startedAt;
    m_logger.write(log_line(log_level::Info, "texts_recovered")
                       .with("model", recovery.model)
                       .with("texts", recovery.texts)
                       .with("outcome", isComplete ? "whole" : "the log does not answer")
                       .with("took_us", took.count())
                       .with("pages", recovery.pages.pages)
                       .with("bytes", recovery.pages.bytes));
    m_scheduler.setRecovered(recovery.model);
}

}
