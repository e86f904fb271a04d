#include "progresskeeper.h"

#include "bootclock.h"
#include "newestpages.h"

#include <support/log.h>
#include <support/logline.h>
#include <wire/journalcodec.h>

#include <xxhash.h>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.progress";
    /// An owner that dies loses this much of the work of its items at most.
    constexpr duration saveInterval = std::chrono::milliseconds(700);
    /// The log takes records of 256 KiB; longer texts are not saved again.
    constexpr std::size_t maxSavedBytes = std::size_t { 200 } * 1024;

    topic_partition topicOf(std::uint32_t partition)
    {
        return { std::string(topicName), partition };
    }

}

progress_keeper::progress_keeper(boost::asio::io_context& context, shared_log& log, std::uint32_t partitions, const std::string& writer,
    const batch_ledger& ledger, item_scheduler& scheduler, ragwortreach::log& lines)
    : m_log(log)
    , m_ledger(ledger)
    , m_scheduler(scheduler)
    , m_lines(lines)
{
    for (std::uint32_t number = 0; number < partitions; ++number) {
        const std::string producer = writer + "-progress-" + std::to_string(number);
        m_writers.push_back(std::make_unique<journal_writer>(context, log, topicOf(number), producer));
    }
}

std::uint32_t progress_keeper::partitionOf(std::string_view model) const
{
    return static_cast<std::uint32_t>(XXH3_64bits(model.data(), model.size()) % m_writers.size());
}

void progress_keeper::tick(instant now)
{
    if (now - m_savedAt < saveInterval)
        return;
    m_savedAt = now;
    save();
    removeClosed();
}

void progress_keeper::save()
{
    for (item_progressed& text : m_scheduler.takeProgress()) {
        const ledger_batch* const batch = m_ledger.find(text.batch);
        const std::optional<std::size_t> item = batch ? batch->indexOf(text.item) : std::nullopt;
        if (!item || text.output.text.size() > maxSavedBytes)
            continue;
        const std::uint32_t partition = partitionOf(batch->submission.model);
        // Saves that the log did not take yet are enough; more would only wait behind them.
        if (m_writers[partition]->waiting() > batch->items.size())
            continue;
        const std::string key = text.batch + "/" + text.item;
        m_saved[key] = { text.batch, *item, partition };
        m_writers[partition]->write({ { key, encodeJournalRecord(text), 0 } }, write_mode::OneTry, [](const append_report&) {
            // A text that is not saved costs time only.
        });
        ++m_counters.saved;
    }
}

bool progress_keeper::isNeeded(const saved_text& text) const
{
    const ledger_batch* const batch = m_ledger.find(text.batch);
    return batch && batch->isOpen() && !batch->items[text.item].position;
}

void progress_keeper::removeClosed()
{
    for (std::map<std::string, saved_text, std::less<>>::iterator it = m_saved.begin(); it != m_saved.end();) {
        if (isNeeded(it->second)) {
            ++it;
            continue;
        }
        m_writers[it->second.partition]->write({ { it->first, std::nullopt, 0 } }, write_mode::Persistent, {});
        it = m_saved.erase(it);
    }
}

void progress_keeper::recover(const std::string& model, instant now)
{
    readNewestPages(m_log, topicOf(partitionOf(model)), {}, [this, found = recovery { model, now, 0 }](const newest_records& saved) mutable {
        for (const keyed_record& record : saved.records)
            take(found, record);
        finish(found, saved.isDone);
    });
}

void progress_keeper::take(recovery& recovery, const keyed_record& record)
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
    m_saved[record.key] = { text->batch, *item, partitionOf(recovery.model) };
    if (m_scheduler.adoptText(*batch, *item, text->output)) {
        ++recovery.texts;
        ++m_counters.recovered;
    }
}

void progress_keeper::finish(const recovery& recovery, bool isWhole)
{
    if (!isWhole)
        ++m_counters.recoveriesFailed;
    const duration took = bootNow() - recovery.startedAt;
    m_lines.write(log_line(log_level::Info, "texts_recovered")
                      .with("model", recovery.model)
                      .with("texts", recovery.texts)
                      .with("outcome", isWhole ? "whole" : "the log does not answer")
                      .with("took_us", took.count()));
    m_scheduler.setRecovered(recovery.model);
}

}
