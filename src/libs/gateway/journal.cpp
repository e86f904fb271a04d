#include "journal.h"

#include "bootclock.h"
#include "pollintervals.h"

#include <wire/journalcodec.h>

#include <algorithm>
#include <iterator>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.batches";
    /// Short enough that the ledger is confirmed often enough to answer that there are no new results.
    constexpr duration readWait = std::chrono::milliseconds(400);
    /// An answer with the records of many seconds takes longer than the usual time-out.
    constexpr std::uint32_t maxTimeoutDoublings = 1;
    /// Longer texts are stored apart from the journal; a shorter one is not worth a record of its own.
    constexpr std::size_t maxInlineBytes = 600;
    /// Name under which the contents of a batch are stored among its texts; ids of items do not contain this character.
    constexpr std::string_view contentsPart = "*";
    /// First byte of a record's value: whether more parts of the same journal record follow.
    constexpr char partialMarker = '+';
    constexpr char finalMarker = '.';

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

    /// The contents of a batch are encoded as its complete acceptance record.
    std::optional<batch_submission> decodeContents(std::string_view contents)
    {
        const std::optional<journal_record> decoded = decodeJournalRecord(contents);
        const batch_accepted* const accepted = decoded ? std::get_if<batch_accepted>(&*decoded) : nullptr;
        return accepted ? std::optional<batch_submission>(accepted->submission) : std::nullopt;
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
    , m_writers(context, log, std::string(topicName), options.partitions, m_writerName)
    , m_texts(context, log, options.textPartitions, m_writerName)
{
    for (std::uint32_t number = 0; number < options.partitions; ++number) {
        topic_follower::handlers handlers;
        handlers.onSnapshot = [this](std::span<const keyed_record>, std::span<const keyed_record> newRecords) { apply(newRecords); };
        handlers.onRecords = [this](std::span<const keyed_record> records) { apply(records); };
        const topic_follower_options following { m_writers.topicPartition(number), readWait, activePollIntervals.journal, maxTimeoutDoublings };
        m_followers.push_back(std::make_unique<topic_follower>(context, log, following, std::move(handlers)));
    }
}

void journal::start()
{
    for (const std::unique_ptr<topic_follower>& follower : m_followers)
        follower->start();
}

void journal::setPollInterval(duration pollInterval)
{
    for (const std::unique_ptr<topic_follower>& follower : m_followers)
        follower->setPollInterval(pollInterval);
}

void journal::write(const journal_record& record, write_mode mode, partition_writer::done_handler onDone)
{
    if (const batch_accepted* const accepted = std::get_if<batch_accepted>(&record)) {
        writeAcceptance(*accepted, mode, std::move(onDone));
        return;
    }
    const item_finished* const finished = std::get_if<item_finished>(&record);
    if (!finished || finished->output.text.size() <= maxInlineBytes) {
        writeRecord(record, mode, std::move(onDone));
        return;
    }
    item_finished shortened = *finished;
    std::string text = std::move(shortened.output.text);
    shortened.output.text.clear();
    const text_name textName { finished->batch, finished->item };
    writeTextThenRecord(textName, std::move(text), mode, std::move(onDone), [shortened = std::move(shortened)](const text_reference& reference) {
        item_finished withReference = shortened;
        withReference.reference = reference;
        return journal_record(std::move(withReference));
    });
}

/// All daemons need to know which batches exist; only the owner needs the contents of their items.
void journal::writeAcceptance(const batch_accepted& accepted, write_mode mode, partition_writer::done_handler onDone)
{
    std::string complete = encodeJournalRecord(accepted);
    if (complete.size() <= maxInlineBytes) {
        writeRecord(accepted, mode, std::move(onDone));
        return;
    }
    batch_accepted shortened = accepted;
    for (batch_item& item : shortened.submission.items)
        item = withoutContents(std::move(item));
    const text_name textName { accepted.submission.id, contentsPart };
    writeTextThenRecord(textName, std::move(complete), mode, std::move(onDone), [shortened = std::move(shortened)](const text_reference& reference) {
        batch_accepted withReference = shortened;
        withReference.submission.contents = reference;
        return journal_record(std::move(withReference));
    });
}

/// A text without a record that refers to it has no effect, so a write of a text with an unknown outcome is reported as
/// refused.
void journal::writeTextThenRecord(const text_name& textName, std::string text, write_mode mode, partition_writer::done_handler onDone,
    std::function<journal_record(const text_reference&)> recordFactory)
{
    m_texts.write(textName.batch, textName.part, std::move(text), mode,
        [this, mode, whenDone = std::move(onDone), makeRecord = std::move(recordFactory)](const text_report& report) {
            if (report.status == append_status::Done)
                writeRecord(makeRecord(report.reference), mode, whenDone);
            else if (whenDone)
                whenDone({ append_status::Refused, std::nullopt });
        });
}

bool journal::load(std::string_view batch, std::string_view contents)
{
    const std::optional<batch_submission> complete = decodeContents(contents);
    return complete && complete->id == batch && m_ledger.load(*complete);
}

std::optional<std::string> journal::bodyOf(std::string_view contents, std::string_view item)
{
    const std::optional<batch_submission> complete = decodeContents(contents);
    if (!complete)
        return std::nullopt;
    for (const batch_item& candidate : complete->items) {
        if (candidate.id == item)
            return candidate.body;
    }
    return std::nullopt;
}

void journal::writeRecord(const journal_record& record, write_mode mode, partition_writer::done_handler onDone)
{
    const std::string bytes = encodeJournalRecord(record);
    const std::string keyBegin = m_writerName + "/" + std::to_string(++m_lastRecord);
    const std::vector<std::string_view> pieces = splitIntoRecords(bytes);
    std::vector<keyed_record> records;
    records.reserve(pieces.size());
    for (const std::string_view piece : pieces) {
        std::string value(1, records.size() + 1 == pieces.size() ? finalMarker : partialMarker);
        value += piece;
        records.push_back({ keyBegin + "/" + std::to_string(records.size()), std::move(value), 0 });
    }
    m_writers[m_writers.partitionOf(batchOf(record))].write(std::move(records), mode, std::move(onDone));
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
    if (record.value->front() == partialMarker)
        return;
    const std::optional<journal_record> decoded = decodeJournalRecord(partial.bytes);
    std::vector<std::string> keys = std::move(partial.keys);
    m_chunks.erase(name);
    if (!decoded) {
        ++m_counters.recordsUnreadable;
        return;
    }
    addKeys(*decoded, std::move(keys));
    ++m_counters.recordsApplied;
    const ledger_batch* const changed = m_ledger.apply(*decoded, bootNow());
    if (changed)
        m_onChanged(*changed);
}

void journal::addKeys(const journal_record& record, std::vector<std::string> keys)
{
    const batch_accepted* const acceptance = std::get_if<batch_accepted>(&record);
    const std::string_view batch = batchOf(record);
    if (!acceptance && !m_ledger.find(batch))
        return;
    batch_keys& known = m_keys[std::string(batch)];
    std::vector<std::string>& list = acceptance ? known.acceptances : known.others;
    if (acceptance && acceptance->submission.contents)
        known.contents.push_back(*acceptance->submission.contents);
    std::move(keys.begin(), keys.end(), std::back_inserter(list));
}

void journal::forgetBefore(instant limit, const std::function<bool(const ledger_batch&)>& removesFromLog)
{
    for (const std::string& id : m_ledger.closedBefore(limit)) {
        const ledger_batch& batch = *m_ledger.find(id);
        if (removesFromLog(batch)) {
            removeFromLog(id);
            m_texts.remove(textsOf(batch));
        }
        m_ledger.forget(id);
        m_keys.erase(id);
    }
}

/// Removes the acceptances first, all in one append. Results without an acceptance are ignored, while an acceptance
/// without its results would make a daemon that starts meanwhile run the batch again.
void journal::removeFromLog(const std::string& batch)
{
    const auto found = m_keys.find(batch);
    if (found == m_keys.end())
        return;
    const std::uint32_t partition = m_writers.partitionOf(batch);
    m_writers.remove(partition, found->second.acceptances);
    m_writers.remove(partition, found->second.others);
    m_texts.remove(found->second.contents);
}

bool journal::isReady() const
{
    return std::all_of(m_followers.begin(), m_followers.end(), [](const std::unique_ptr<topic_follower>& follower) { return follower->isReady(); });
}

instant journal::confirmedAt(std::string_view batch) const
{
    return m_followers[m_writers.partitionOf(batch)]->confirmedAt();
}

instant journal::confirmedAt() const
{
    instant oldest = instant::max();
    for (const std::unique_ptr<topic_follower>& follower : m_followers)
        oldest = std::min(oldest, follower->confirmedAt());
    return oldest;
}

snapshot_counters journal::snapshots() const
{
    snapshot_counters sum;
    for (const std::unique_ptr<topic_follower>& follower : m_followers) {
        sum.snapshots += follower->snapshots().snapshots;
        sum.pages += follower->snapshots().pages;
        sum.bytes += follower->snapshots().bytes;
        sum.failedPages += follower->snapshots().failedPages;
    }
    return sum;
}

std::size_t journal::pendingWrites() const
{
    return m_texts.pendingWrites() + m_writers.pendingWrites();
}

}
