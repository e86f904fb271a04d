#include "journal.h"

#include "bootclock.h"

#include <wire/journalcodec.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.batches";
    /// The log takes records of 256 KiB; the key takes its part.
    constexpr std::size_t maxChunkBytes = std::size_t { 200 } * 1024;
    /// A read that waits no longer confirms often enough that an answer can say there is nothing yet.
    constexpr duration readWait = std::chrono::milliseconds(400);
    constexpr duration readSpacing = std::chrono::milliseconds(60);
    /// Longer texts stand apart from the records; a shorter one is not worth a record of its own.
    constexpr std::size_t maxInlineBytes = 600;
    constexpr char moreFollows = '+';
    constexpr char isLast = '.';

    std::string_view batchOf(const journal_record& record)
    {
        class visitor {
        public:
            std::string_view operator()(const batch_accepted& accepted) const { return accepted.submission.id; }
            std::string_view operator()(const item_finished& finished) const { return finished.batch; }
            std::string_view operator()(const item_progressed& progressed) const { return progressed.batch; }
            std::string_view operator()(const batch_ended& ended) const { return ended.batch; }
        };
        return std::visit(visitor(), record);
    }

    std::vector<text_reference> textsOf(const ledger_batch& batch)
    {
        std::vector<text_reference> references;
        for (const ledger_result& result : batch.results) {
            if (result.reference)
                references.push_back(*result.reference);
        }
        return references;
    }

}

journal::journal(boost::asio::io_context& context, shared_log& log, const journal_options& options, std::string writer,
    std::function<void(const ledger_batch&)> onChanged)
    : m_writerName(std::move(writer))
    , m_onChanged(std::move(onChanged))
    , m_texts(context, log, options.textPartitions, m_writerName)
{
    for (std::uint32_t number = 0; number < options.partitions; ++number) {
        const topic_partition where { std::string(topicName), number };
        topic_follower::handlers handlers;
        handlers.onSnapshot = [this](std::span<const keyed_record>, std::span<const keyed_record> fresh) { apply(fresh); };
        handlers.onRecords = [this](std::span<const keyed_record> records) { apply(records); };
        const topic_follower_options following { where, readWait, readSpacing };
        partition& added = m_partitions.emplace_back();
        added.follower = std::make_unique<topic_follower>(context, log, following, std::move(handlers));
        added.writer = std::make_unique<journal_writer>(context, log, where, m_writerName + "-" + std::to_string(number));
    }
}

void journal::start()
{
    for (partition& item : m_partitions)
        item.follower->start();
}

std::size_t journal::partitionOf(std::string_view batch) const
{
    return XXH3_64bits(batch.data(), batch.size()) % m_partitions.size();
}

void journal::write(const journal_record& record, write_mode mode, std::function<void(append_status)> onDone)
{
    const item_finished* const finished = std::get_if<item_finished>(&record);
    if (!finished || finished->output.text.size() <= maxInlineBytes) {
        writeRecord(record, mode, std::move(onDone));
        return;
    }
    item_finished rest = *finished;
    std::string text = std::move(rest.output.text);
    rest.output.text.clear();
    m_texts.write(finished->batch, finished->item, std::move(text),
        [this, rest = std::move(rest), mode, whenDone = std::move(onDone)](const text_reference& reference) {
            item_finished record = rest;
            record.reference = reference;
            writeRecord(record, mode, whenDone);
        });
}

void journal::writeRecord(const journal_record& record, write_mode mode, std::function<void(append_status)> onDone)
{
    const std::string bytes = encodeJournalRecord(record);
    const std::string keyBegin = m_writerName + "/" + std::to_string(++m_lastRecord);
    std::vector<keyed_record> records;
    std::string_view rest = bytes;
    do {
        const std::string_view chunk = rest.substr(0, maxChunkBytes);
        rest.remove_prefix(chunk.size());
        std::string value(1, rest.empty() ? isLast : moreFollows);
        value += chunk;
        records.push_back({ keyBegin + "/" + std::to_string(records.size()), std::move(value), 0 });
    } while (!rest.empty());
    m_partitions[partitionOf(batchOf(record))].writer->write(std::move(records), mode, [whenDone = std::move(onDone)](const append_report& report) {
        if (whenDone)
            whenDone(report.status);
    });
}

void journal::apply(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        if (record.value && !record.value->empty())
            applyChunk(record);
    }
}

void journal::applyChunk(const keyed_record& record)
{
    const std::string name = record.key.substr(0, record.key.rfind('/'));
    partial_record& partial = m_chunks[name];
    partial.bytes += std::string_view(*record.value).substr(1);
    partial.keys.push_back(record.key);
    if (record.value->front() == moreFollows)
        return;
    const std::optional<journal_record> decoded = decodeJournalRecord(partial.bytes);
    std::vector<std::string> keys = std::move(partial.keys);
    m_chunks.erase(name);
    if (!decoded) {
        ++m_counters.recordsUnreadable;
        return;
    }
    noteKeys(*decoded, std::move(keys));
    ++m_counters.recordsApplied;
    const ledger_batch* const changed = m_ledger.apply(*decoded, bootNow());
    if (changed)
        m_onChanged(*changed);
}

void journal::noteKeys(const journal_record& record, std::vector<std::string> keys)
{
    const bool isAcceptance = std::holds_alternative<batch_accepted>(record);
    const std::string_view batch = batchOf(record);
    if (!isAcceptance && !m_ledger.find(batch))
        return;
    batch_keys& known = m_keys[std::string(batch)];
    std::vector<std::string>& list = isAcceptance ? known.acceptances : known.others;
    std::move(keys.begin(), keys.end(), std::back_inserter(list));
}

void journal::forgetBefore(instant limit, const std::function<bool(const ledger_batch&)>& isKeeper)
{
    for (const std::string& id : m_ledger.closedBefore(limit)) {
        const ledger_batch& batch = *m_ledger.find(id);
        if (isKeeper(batch)) {
            removeFromLog(id);
            m_texts.remove(textsOf(batch));
        }
        m_ledger.forget(id);
        m_keys.erase(id);
    }
}

/// Removes the acceptances first and all together: results without an acceptance are ignored, while an acceptance
/// without its results would make a daemon that starts then run the batch again.
void journal::removeFromLog(const std::string& batch)
{
    const auto found = m_keys.find(batch);
    if (found == m_keys.end())
        return;
    journal_writer& writer = *m_partitions[partitionOf(batch)].writer;
    for (const std::vector<std::string>* list : { &found->second.acceptances, &found->second.others }) {
        std::vector<keyed_record> removals;
        for (const std::string& key : *list)
            removals.push_back({ key, std::nullopt, 0 });
        if (!removals.empty())
            writer.write(std::move(removals), write_mode::Persistent, {});
    }
}

bool journal::isReady() const
{
    return std::all_of(m_partitions.begin(), m_partitions.end(), [](const partition& item) { return item.follower->isReady(); });
}

instant journal::confirmedAt(std::string_view batch) const
{
    return m_partitions[partitionOf(batch)].follower->confirmedAt();
}

instant journal::confirmedAt() const
{
    instant oldest = instant::max();
    for (const partition& item : m_partitions)
        oldest = std::min(oldest, item.follower->confirmedAt());
    return oldest;
}

std::size_t journal::waiting() const
{
    std::size_t waiting = m_texts.waiting();
    for (const partition& item : m_partitions)
        waiting += item.writer->waiting();
    return waiting;
}

}
