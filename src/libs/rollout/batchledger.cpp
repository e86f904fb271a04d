#include "batchledger.h"

namespace ragwortreach {

/// Applies one record to a ledger.
class ledger_visitor {
public:
    ledger_visitor(batch_ledger& ledger, instant now)
        : m_ledger(ledger)
        , m_now(now)
    {
    }

    const ledger_batch* operator()(const batch_accepted& record) const
    {
        const std::string& id = record.submission.id;
        if (m_ledger.m_batches.contains(id))
            return nullptr;
        ledger_batch& batch = m_ledger.m_batches[id];
        batch.submission = record.submission;
        batch.learnedAt = m_now;
        batch.items.resize(batch.submission.items.size());
        for (std::size_t index = 0; index < batch.submission.items.size(); ++index) {
            batch.itemIndex.emplace(batch.submission.items[index].id, index);
            ++batch.openItems[batch.submission.items[index].group];
        }
        m_ledger.m_order.push_back(id);
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
        batch->results.push_back({ *index, record.isCompleted, record.output });
        if (--batch->openItems[batch->submission.items[*index].group] == 0)
            ++batch->completeGroups;
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
        if (record.output.lastEvent <= progress.lastEvent)
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

private:
    ledger_batch* find(const std::string& id) const
    {
        const auto found = m_ledger.m_batches.find(id);
        return found == m_ledger.m_batches.end() ? nullptr : &found->second;
    }

    batch_ledger& m_ledger;
    instant m_now;
};

std::optional<std::size_t> ledger_batch::indexOf(std::string_view item) const
{
    const auto found = itemIndex.find(item);
    if (found == itemIndex.end())
        return std::nullopt;
    return found->second;
}

const ledger_batch* batch_ledger::apply(const journal_record& record, instant now)
{
    return std::visit(ledger_visitor(*this, now), record);
}

const ledger_batch* batch_ledger::find(std::string_view id) const
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
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

void batch_ledger::forget(std::string_view id)
{
    std::erase(m_order, id);
    const auto found = m_batches.find(id);
    if (found != m_batches.end())
        m_batches.erase(found);
}

}
