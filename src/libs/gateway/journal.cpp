#include "journal.h"

#include "bootclock.h"
#include "journalkeys.h"
#include "pollintervals.h"
#include "textkeys.h"

#include <wire/contentscodec.h>
#include <wire/journalcodec.h>

#include <algorithm>
#include <iterator>

namespace ragwortreach {

namespace {

    constexpr std::string_view topicName = "keyed.ragwortreach.journal";
    /// Short enough that the ledger is confirmed often enough to answer that there are no new results.
    constexpr duration readWait = std::chrono::milliseconds(400);
    /// Longer texts are stored apart from the journal; a shorter one is not worth a record of its own.
    constexpr std::size_t maxInlineBytes = 600;
    /// First byte of a record's value: whether more parts of the same journal record follow.
    constexpr char partialMarker = '+';
    constexpr char finalMarker = '.';
    /// Most bytes that the numbers and the framing of a batch take in a record, without its items.
    constexpr std::size_t batchOverhead = 256;

    std::string_view batchOf(const journal_record& record)
    {
        class visitor {
        public:
            std::string_view operator()(const batch_accepted& accepted) const { return accepted.submission.id; }
            std::string_view operator()(const item_finished& finished) const { return finished.batch; }
            std::string_view operator()(const item_progressed& progressed) const { return progressed.batch; }
            std::string_view operator()(const batch_ended& ended) const { return ended.batch; }
            std::string_view operator()(const batch_listed& listed) const { return listed.batch; }
        };
        return std::visit(visitor(), record);
    }

    /// Whether the record belongs to the directory of batches.
    bool isDirectoryRecord(const journal_record& record)
    {
        return std::holds_alternative<batch_listed>(record) || std::holds_alternative<batch_ended>(record);
    }

    /// Whether the whole acceptance may fit into the journal.
    bool maySuitJournal(const batch_submission& batch)
    {
        std::size_t bytes = 0;
        for (const batch_item& item : batch.items)
            bytes += item.id.size() + item.path.size() + item.body.size();
        return bytes <= maxInlineBytes;
    }

    /// Encodes the contents of \a batch, whose items lose them.
    std::vector<std::string> takeContentsOf(batch_submission& batch)
    {
        record_splitter splitter;
        const auto append = [&splitter](std::string_view piece) { splitter.append(piece); };
        splitter.append(encodeContentsBegin(batch));
        for (batch_item& item : batch.items) {
            encodeContentsItem(item, append);
            item = withoutContents(std::move(item));
        }
        return splitter.take();
    }

}

journal::journal(boost::asio::io_context& context, shared_log& log, const journal_options& options, std::string writer,
    std::function<void(const ledger_batch&)> onChanged, std::function<void(const batch_listed&)> onListed)
    : m_writerName(std::move(writer))
    , m_onChanged(std::move(onChanged))
    , m_onListed(std::move(onListed))
    , m_log(log)
    , m_writers(context, log, std::string(topicName), options.partitions, m_writerName)
    , m_texts(context, log, options.textPartitions, m_writerName)
{
    for (std::uint32_t number = 0; number < options.partitions; ++number) {
        topic_follower::handlers handlers;
        handlers.onSnapshot = [this, number](std::span<const keyed_record>, std::span<const keyed_record> newRecords) { applySnapshot(number, newRecords); };
        handlers.onRecords = [this](std::span<const keyed_record> records) { applyTail(records); };
        handlers.onConfirmed = [this, number] { m_ledger.setConfirmedAt(number, m_followers[number]->confirmedAt()); };
        const topic_follower_options following { m_writers.topicPartition(number), readWait, activePollIntervals.journal, std::string(directoryPrefix) };
        m_followers.push_back(std::make_unique<topic_follower>(context, log, following, std::move(handlers)));
    }
}

std::size_t journal::sharedBytes(const batch_submission& batch)
{
    std::size_t bytes = batchOverhead + 2 * (batch.id.size() + batch.model.size() + batch.organisation.value_or("").size()) + batch.host.size();
    for (const batch_item& item : batch.items)
        bytes += ragwortreach::sharedBytes(item);
    return bytes;
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
        write(batch_accepted(*accepted), mode, std::move(onDone));
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
    const text_store::write_handler writeFinished = recordWriter(mode, std::move(onDone), [shortened = std::move(shortened)](const text_reference& reference) {
        item_finished withReference = shortened;
        withReference.reference = reference;
        return journal_record(std::move(withReference));
    });
    m_texts.write(finished->batch, finished->item, std::move(text), mode, writeFinished);
}

/// All daemons need to know which batches exist; only the owner needs the contents of their items.
void journal::write(batch_accepted record, write_mode mode, partition_writer::done_handler onDone)
{
    if (maySuitJournal(record.submission) && encodeJournalRecord(record).size() <= maxInlineBytes) {
        writeRecord(record, mode, std::move(onDone));
        return;
    }
    std::vector<std::string> contents = takeContentsOf(record.submission);
    const std::string batch = record.submission.id;
    const text_store::write_handler writeShortened = recordWriter(mode, std::move(onDone), [shortened = std::move(record)](const text_reference& reference) {
        batch_accepted withReference = shortened;
        withReference.submission.contents = reference;
        return journal_record(std::move(withReference));
    });
    m_texts.write(batch, contentsPart, std::move(contents), mode, writeShortened);
}

/// A text without a record that refers to it has no effect, so a write of a text with an unknown outcome is reported as
/// refused.
text_store::write_handler journal::recordWriter(write_mode mode, partition_writer::done_handler onDone, record_factory makeRecord)
{
    return [this, mode, whenDone = std::move(onDone), factory = std::move(makeRecord)](const text_report& report) {
        if (report.status == append_status::Done)
            writeRecord(factory(report.reference), mode, whenDone);
        else if (whenDone)
            whenDone({ append_status::Refused, std::nullopt });
    };
}

void journal::writeRecord(const journal_record& record, write_mode mode, partition_writer::done_handler onDone)
{
    std::vector<keyed_record> records;
    const batch_accepted* const accepted = std::get_if<batch_accepted>(&record);
    if (accepted)
        encodeInto(records, batch_listed { accepted->submission.id, accepted->submission.model, accepted->submission.minVersion, accepted->submission.organisation });
    encodeInto(records, record);
    m_writers[m_writers.partitionOf(batchOf(record))].write(std::move(records), mode, std::move(onDone));
}

void journal::encodeInto(std::vector<keyed_record>& encoded, const journal_record& record)
{
    const std::string bytes = encodeJournalRecord(record);
    std::string keyBegin(isDirectoryRecord(record) ? directoryPrefix : std::string_view());
    keyBegin += batchPrefix(journalName(batchOf(record))) + m_writerName + '/' + std::to_string(++m_lastRecord) + '/';
    const std::vector<std::string_view> pieces = splitIntoRecords(bytes);
    for (std::size_t number = 0; number < pieces.size(); ++number) {
        std::string value(1, number + 1 == pieces.size() ? finalMarker : partialMarker);
        value += pieces[number];
        encoded.push_back({ keyBegin + std::to_string(number), std::move(value), 0 });
    }
}

void journal::applySnapshot(std::uint32_t partition, std::span<const keyed_record> newRecords)
{
    for (const std::string& name : m_directory.names()) {
        if (m_writers.partitionOf(m_directory.find(name)->listed.batch) == partition)
            m_directory.setFollowed(name, false);
    }
    std::erase_if(m_fetches, [partition](const std::pair<const std::string, std::shared_ptr<batch_fetch>>& item) { return item.second->partition() == partition; });
    for (const keyed_record& record : newRecords)
        applyDirectoryRecord(record, false);
}

void journal::applyTail(std::span<const keyed_record> records)
{
    for (const keyed_record& record : records) {
        if (isDirectoryKey(record.key))
            applyDirectoryRecord(record, true);
        else
            applyBatchRecord(record);
    }
}

void journal::applyDirectoryRecord(const keyed_record& record, bool isFollowed)
{
    const std::string name(nameInKey(record.key));
    const directory_entry* const known = m_directory.find(name);
    if (!record.value || record.value->empty()) {
        if (known && !known->isFollowed)
            forget(name);
        return;
    }
    const std::optional<journal_record> decoded = decode(std::string_view(*record.value).substr(1));
    if (!decoded)
        return;
    addKeys(name, *decoded, { record.key });
    ++m_counters.recordsApplied;
    const batch_listed* const listed = std::get_if<batch_listed>(&*decoded);
    if (listed) {
        if (!m_directory.add(name, *listed, record.offset, bootNow()))
            return;
        m_directory.setFollowed(name, isFollowed);
        if (m_onListed)
            m_onListed(*listed);
        return;
    }
    m_directory.setEnded(name, std::get<batch_ended>(*decoded), bootNow());
    const ledger_batch* const changed = m_ledger.apply(*decoded, bootNow());
    if (changed)
        m_onChanged(*changed);
}

void journal::applyBatchRecord(const keyed_record& record)
{
    const std::string_view name = nameInKey(record.key);
    const auto fetch = m_fetches.find(name);
    if (fetch != m_fetches.end()) {
        fetch->second->addTailRecord(record);
        return;
    }
    const directory_entry* const entry = m_directory.find(name);
    if (!entry || !entry->isFollowed)
        return;
    const ledger_batch* const changed = applyChunk(name, record);
    if (changed)
        m_onChanged(*changed);
}

const ledger_batch* journal::applyChunk(std::string_view name, const keyed_record& record)
{
    if (!record.value || record.value->empty())
        return nullptr;
    const std::string recordName = record.key.substr(0, record.key.rfind('/'));
    partial_record& partial = m_chunks[recordName];
    partial.bytes += std::string_view(*record.value).substr(1);
    partial.keys.push_back(record.key);
    if (record.value->front() == partialMarker)
        return nullptr;
    const partial_record complete = std::move(partial);
    m_chunks.erase(recordName);
    const std::optional<journal_record> decoded = decode(complete.bytes);
    if (!decoded)
        return nullptr;
    addKeys(name, *decoded, complete.keys);
    ++m_counters.recordsApplied;
    const directory_entry& entry = *m_directory.find(name);
    const ledger_batch* const changed = m_ledger.apply(*decoded, entry.learnedAt, entry.offset, m_writers.partitionOf(entry.listed.batch));
    if (changed && entry.isEnded)
        m_ledger.apply(batch_ended { entry.listed.batch }, entry.learnedAt);
    return changed;
}

std::optional<journal_record> journal::decode(std::string_view bytes)
{
    std::optional<journal_record> decoded = decodeJournalRecord(bytes);
    if (!decoded)
        ++m_counters.recordsUnreadable;
    return decoded;
}

void journal::addKeys(std::string_view name, const journal_record& record, std::vector<std::string> keys)
{
    const batch_accepted* const acceptance = std::get_if<batch_accepted>(&record);
    batch_keys& known = m_keys[std::string(name)];
    std::vector<std::string>& list = isDirectoryRecord(record) ? known.listings : acceptance ? known.acceptances
                                                                                             : known.others;
    if (acceptance && acceptance->submission.contents)
        known.contents.push_back(*acceptance->submission.contents);
    std::move(keys.begin(), keys.end(), std::back_inserter(list));
}

const batch_listed* journal::listing(std::string_view batch) const
{
    const directory_entry* const entry = m_directory.find(journalName(batch));
    return entry ? &entry->listed : nullptr;
}

bool journal::isEnded(std::string_view batch) const
{
    return m_directory.isEnded(journalName(batch));
}

bool journal::isFollowed(std::string_view batch) const
{
    const directory_entry* const entry = m_directory.find(journalName(batch));
    return entry && entry->isFollowed && m_ledger.find(batch);
}

void journal::fetch(std::string_view batch)
{
    fetchNamed(journalName(batch));
}

bool journal::isFetching(std::string_view batch) const
{
    const auto found = m_fetches.find(journalName(batch));
    return found != m_fetches.end() && found->second->isReading();
}

void journal::fetchNamed(const std::string& name)
{
    const directory_entry* const entry = m_directory.find(name);
    if (!entry || entry->isFollowed)
        return;
    std::shared_ptr<batch_fetch>& fetch = m_fetches[name];
    if (!fetch) {
        const topic_partition topicPartition = m_writers.topicPartition(m_writers.partitionOf(entry->listed.batch));
        fetch = std::make_shared<batch_fetch>(m_log, topicPartition, batchPrefix(name), [this, name] { applyFetched(name); });
    }
    fetch->read(bootNow());
}

void journal::applyFetched(const std::string& name)
{
    const std::shared_ptr<batch_fetch> fetch = m_fetches.extract(name).mapped();
    ++m_counters.batchesFetched;
    m_counters.fetchedPages += fetch->newest().pages;
    m_counters.fetchedBytes += fetch->newest().bytes;
    const directory_entry* const entry = m_directory.find(name);
    if (!entry)
        return;
    m_directory.setFollowed(name, true);
    dropRead(name);
    for (const keyed_record& record : fetch->takeRecords())
        applyChunk(name, record);
    const std::string id = entry->listed.batch;
    const ledger_batch* const batch = m_ledger.find(id);
    if (batch)
        m_onChanged(*batch);
    else
        forget(name); // Its records have been removed from the log.
}

/// Drops what was kept of the records of a batch, which are to be read again.
void journal::dropRead(const std::string& name)
{
    std::erase_if(m_chunks, [prefix = batchPrefix(name)](const std::pair<const std::string, partial_record>& chunk) { return chunk.first.starts_with(prefix); });
    batch_keys& keys = m_keys[name];
    keys.acceptances.clear();
    keys.others.clear();
    keys.contents.clear();
}

std::set<std::string, std::less<>> journal::fetchBatchesOf(const std::set<std::string, std::less<>>& models)
{
    std::set<std::string, std::less<>> incomplete;
    for (const std::string& name : m_directory.missing(models)) {
        incomplete.insert(m_directory.find(name)->listed.model);
        fetchNamed(name);
    }
    return incomplete;
}

bool journal::hasBatchesOf(const std::string& model) const
{
    return m_directory.missing({ model }).empty();
}

void journal::forgetBefore(instant limit, const std::function<bool(std::string_view model)>& removesFromLog)
{
    for (const std::string& id : m_ledger.closedBefore(limit)) {
        const ledger_batch& batch = *m_ledger.find(id);
        if (removesFromLog(batch.submission.model)) {
            if (isListed(id) && !isFollowed(id)) {
                fetch(id); // Keys of its records may have been missed.
                continue;
            }
            removeFromLog(id);
            m_texts.remove(m_ledger.textsOnlyOf(batch));
        }
        m_ledger.forget(id);
        forget(journalName(id));
    }
    for (const std::string& name : m_directory.closedBefore(limit)) {
        if (!removesFromLog(m_directory.find(name)->listed.model))
            forget(name);
        else if (m_fetches.empty() || m_fetches.contains(name))
            fetchNamed(name); // The keys of its records have to be known for their removal.
    }
    for (const std::string& id : m_directory.earlyEndsBefore(limit)) {
        if (removesFromLog({}))
            removeFromLog(id);
        forget(journalName(id));
    }
}

void journal::dropIdleFetches(instant limit)
{
    std::erase_if(m_fetches, [limit](const std::pair<const std::string, std::shared_ptr<batch_fetch>>& item) { return item.second->requestedAt() < limit; });
}

void journal::forget(const std::string& name)
{
    const directory_entry* const entry = m_directory.find(name);
    if (entry)
        m_ledger.forget(entry->listed.batch);
    m_directory.remove(name);
    m_fetches.erase(name);
    m_keys.erase(name);
}

/// Removes the acceptances first, all in one append. Results without an acceptance are ignored, while an acceptance
/// without its results would make a daemon that starts meanwhile run the batch again.
void journal::removeFromLog(const std::string& batch)
{
    const auto found = m_keys.find(journalName(batch));
    if (found == m_keys.end())
        return;
    batch_keys& keys = found->second;
    const std::uint32_t partition = m_writers.partitionOf(batch);
    std::move(keys.acceptances.begin(), keys.acceptances.end(), std::back_inserter(keys.listings));
    m_writers.remove(partition, keys.listings);
    m_writers.remove(partition, keys.others);
    m_texts.remove(keys.contents);
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
