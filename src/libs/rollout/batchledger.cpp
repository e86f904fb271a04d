#include "batchledger.h"

#include <algorithm>

namespace ragwortreach {

namespace {
    /// Number of earlier batches searched for resubmitted items: trainers resubmit items of the last few batches only.
    constexpr std::size_t maxEarlierBatches = 6;
}

/// Applies one record to a ledger.
class ledger_visitor {
public:
    ledger_visitor(batch_ledger& ledger, instant learnedAt, std::uint64_t acceptedOffset, std::uint32_t partition)
        : m_ledger(ledger)
        , m_learnedAt(learnedAt)
        , m_acceptedOffset(acceptedOffset)
        , m_partition(partition)
    {
    }

    const ledger_batch* operator()(const batch_accepted& record) const
    {
        const std::string& id = record.submission.id;
        if (m_ledger.m_batches.contains(id))
            return nullptr;
        ledger_batch& batch = m_ledger.m_batches[id];
        batch.submission = record.submission;
        batch.learnedAt = m_learnedAt;
        batch.acceptedOffset = m_acceptedOffset;
        batch.partition = m_partition;
        batch.items.resize(batch.submission.items.size());
        for (std::size_t index = 0; index < batch.submission.items.size(); ++index) {
            batch.itemIndex.emplace(batch.submission.items[index].id, index);
            ++batch.openItems[batch.submission.items[index].group];
        }
        m_ledger.insertIntoOrder(batch);
        batch.isLoaded = !batch.hasStoredContents();
        if (batch.isLoaded) {
            batch_ledger::noteDigests(batch);
            m_ledger.linkEarlier(batch);
        }
        return &batch;
    }

    const ledger_batch* operator()(const item_finished& record) const
    {
        ledger_batch* const batch = find(record.batch);
        if (!batch)
            return nullptr;
        const std::optional<std::size_t> index = batch->indexOf(record.item);
        if (!index || batch->items[*index].position)
            return nullptr;
        batch->items[*index].position = batch->results.size();
        batch->items[*index].progress = {};
        batch->results.push_back({ *index, record.isCompleted, record.output, record.reference, record.reward });
        const std::string& group = batch->submission.items[*index].group;
        if (--batch->openItems[group] == 0) {
            ++batch->completeGroups;
            batch->openRequiredGroups -= batch->requiredGroups.contains(group) ? 1U : 0U;
        }
        return batch;
    }

    const ledger_batch* operator()(const item_progressed& record) const
    {
        ledger_batch* const batch = find(record.batch);
        if (!batch)
            return nullptr;
        const std::optional<std::size_t> index = batch->indexOf(record.item);
        if (!index || batch->items[*index].position)
            return nullptr;
        item_text& progress = batch->items[*index].progress;
        const bool isLonger = record.output.lastEvent > progress.lastEvent;
        if (!isLonger && record.output.isComplete <= progress.isComplete)
            return nullptr;
        progress = record.output;
        return batch;
    }

    const ledger_batch* operator()(const batch_ended& record) const
    {
        ledger_batch* const batch = find(record.batch);
        if (!batch)
            return nullptr;
        batch->isEnded = true;
        return batch;
    }

    const ledger_batch* operator()(const batch_listed&) const { return nullptr; }

private:
    ledger_batch* find(const std::string& id) const
    {
        const auto found = m_ledger.m_batches.find(id);
        return found == m_ledger.m_batches.end() ? nullptr : &found->second;
    }

    batch_ledger& m_ledger;
    instant m_learnedAt;
    std::uint64_t m_acceptedOffset;
    std::uint32_t m_partition;
};

std::optional<std::size_t> ledger_batch::indexOf(std::string_view item) const
{
    const auto found = itemIndex.find(item);
    if (found == itemIndex.end())
        return std::nullopt;
    return found->second;
}

std::span<const ledger_result> ledger_batch::page(std::size_t position, std::size_t maxBytes) const
{
    if (position >= results.size())
        return {};
    std::size_t count = 0;
    std::uint64_t bytes = 0;
    for (const ledger_result& result : std::span(results).subspan(position)) {
        bytes += result.bytes();
        if (count > 0 && bytes > maxBytes)
            break;
        ++count;
    }
    return std::span(results).subspan(position, count);
}

const ledger_batch* batch_ledger::apply(const journal_record& record, instant learnedAt, std::uint64_t acceptedOffset, std::uint32_t partition)
{
    return std::visit(ledger_visitor(*this, learnedAt, acceptedOffset, partition), record);
}

std::optional<instant> batch_ledger::confirmedAt(const ledger_batch& batch) const
{
    const std::map<std::uint32_t, instant>::const_iterator found = m_confirmedAt.find(batch.partition);
    return found == m_confirmedAt.end() ? std::nullopt : std::optional<instant>(found->second);
}

bool batch_ledger::mayBeginWork(const ledger_batch& batch, instant now) const
{
    const std::optional<instant> confirmed = confirmedAt(batch);
    return batch.isOpen() && confirmed && now - *confirmed < maxAgeForWork;
}

void batch_ledger::insertIntoOrder(const ledger_batch& batch)
{
    const auto isBefore = [this](std::uint64_t offset, const std::string& id) { return offset < m_batches.find(id)->second.acceptedOffset; };
    m_order.insert(std::upper_bound(m_order.begin(), m_order.end(), batch.acceptedOffset, isBefore), batch.submission.id);
}

const ledger_batch* batch_ledger::find(std::string_view id) const
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
}

bool batch_ledger::load(std::string_view id, std::vector<loaded_item> items)
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end() || found->second.items.size() != items.size())
        return false;
    ledger_batch& batch = found->second;
    if (batch.isLoaded)
        return true;
    for (std::size_t index = 0; index < items.size(); ++index) {
        batch.submission.items[index] = std::move(items[index].outline);
        batch.items[index].contents = items[index].contents;
    }
    batch.isLoaded = true;
    linkEarlier(batch);
    return true;
}

/// For a batch whose contents are in the journal itself.
void batch_ledger::noteDigests(ledger_batch& batch)
{
    for (std::size_t index = 0; index < batch.items.size(); ++index)
        batch.items[index].contents = digestsOf(batch.submission.items[index]);
}

void batch_ledger::unload(std::string_view id)
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end() || !found->second.hasStoredContents())
        return;
    found->second.isLoaded = false;
    for (batch_item& item : found->second.submission.items)
        item = withoutContents(std::move(item));
}

/// Searches the preceding batches of the model and the organisation for items of \a batch with the same id and body.
void batch_ledger::linkEarlier(ledger_batch& batch) const
{
    std::size_t searched = 0;
    const std::vector<std::string>::const_iterator own = std::find(m_order.begin(), m_order.end(), batch.submission.id);
    for (std::size_t place = static_cast<std::size_t>(own - m_order.begin()); place > 0 && searched < maxEarlierBatches; --place) {
        const ledger_batch& before = m_batches.find(m_order[place - 1])->second;
        if (before.submission.model != batch.submission.model || before.submission.organisation != batch.submission.organisation || !before.isLoaded)
            continue;
        ++searched;
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const batch_item& item = batch.submission.items[index];
            const std::optional<std::size_t> known = before.indexOf(item.id);
            if (!known || batch.items[index].earlier || before.items[*known].contents.body != batch.items[index].contents.body)
                continue;
            batch.items[index].earlier = earlier_item { m_order[place - 1], *known };
            batch.requiredGroups.insert(item.group);
        }
    }
    batch.openRequiredGroups = static_cast<std::size_t>(std::count_if(batch.requiredGroups.begin(), batch.requiredGroups.end(),
        [&batch](const std::string& group) { return batch.openItems.find(group)->second > 0; }));
}

std::vector<std::string> batch_ledger::closedBefore(instant limit) const
{
    std::vector<std::string> closed;
    for (const std::string& id : m_order) {
        const ledger_batch& batch = m_batches.find(id)->second;
        if (!batch.isOpen() && batch.learnedAt < limit)
            closed.push_back(id);
    }
    return closed;
}

std::vector<text_reference> batch_ledger::textsOnlyOf(const ledger_batch& batch) const
{
    std::map<std::string_view, text_reference> own;
    for (const ledger_result& result : batch.results) {
        if (result.reference)
            own.emplace(result.reference->key, *result.reference);
    }
    for (const std::pair<const std::string, ledger_batch>& other : m_batches) {
        if (&other.second == &batch)
            continue;
        for (const ledger_result& result : other.second.results) {
            if (result.reference)
                own.erase(result.reference->key);
        }
    }
    std::vector<text_reference> references;
    references.reserve(own.size());
    for (const std::pair<const std::string_view, text_reference>& text : own)
        references.push_back(text.second);
    return references;
}

void batch_ledger::forget(std::string_view id)
{
    std::erase(m_order, id);
    const auto found = m_batches.find(id);
    if (found != m_batches.end())
        m_batches.erase(found);
}

}
