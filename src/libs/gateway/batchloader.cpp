#include "batchloader.h"

#include "bootclock.h"

#include <core/resultcode.h>
#include <support/log.h>
#include <support/logline.h>
#include <wire/contentscodec.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration retryPause = std::chrono::milliseconds(200);

    std::string_view toString(scan_end end)
    {
        switch (end) {
        case scan_end::Whole:
            return "whole";
        case scan_end::Stopped:
            return "unreadable";
        case scan_end::Unread:
            return "the log does not answer";
        }
        return "unknown";
    }

}

struct batch_loader::load {
    std::string batch;
    instant startedAt {};
    std::vector<loaded_item> items;
    std::unique_ptr<contents_reader> reader;
};

batch_loader::batch_loader(journal& journal, contents_cache& cache, log& log)
    : m_journal(journal)
    , m_cache(cache)
    , m_log(log)
{
}

void batch_loader::tick(const std::function<bool(const ledger_batch&)>& isWanted, instant now)
{
    unloadUnwanted(isWanted);
    m_wanted.clear();
    m_missing.clear();
    for (const std::string& id : m_journal.ledger().order()) {
        const ledger_batch& batch = *m_journal.ledger().find(id);
        if (batch.isLoaded || m_unreadable.contains(id) || !isWanted(batch))
            continue;
        m_wanted.push_back(id);
        m_missing.insert(batch.submission.model);
    }
    loadNext(now);
}

void batch_loader::unloadUnwanted(const std::function<bool(const ledger_batch&)>& isWanted)
{
    std::vector<std::string> unneeded;
    for (const std::string& id : m_journal.ledger().order()) {
        const ledger_batch& batch = *m_journal.ledger().find(id);
        if (batch.hasStoredContents() && batch.isLoaded && !isWanted(batch))
            unneeded.push_back(id);
    }
    for (const std::string& id : unneeded) {
        m_journal.unload(id);
        m_cache.forget(id);
    }
    std::erase_if(m_unreadable, [this](const std::string& id) { return !m_journal.ledger().find(id); });
}

std::size_t batch_loader::pendingBytes() const
{
    return m_current ? m_current->reader->pendingBytes() : 0;
}

std::uint64_t batch_loader::acceptedBytes() const
{
    std::uint64_t bytes = 0;
    for (const std::string& id : m_journal.ledger().order()) {
        const ledger_batch& batch = *m_journal.ledger().find(id);
        if (batch.isLoaded && batch.submission.contents)
            bytes += batch.submission.contents->bytes;
    }
    return bytes;
}

bool batch_loader::isPaused(const std::string& model, instant now) const
{
    const auto found = m_pausedUntil.find(model);
    return found != m_pausedUntil.end() && now < found->second;
}

void batch_loader::loadNext(instant now)
{
    if (m_current)
        return;
    for (const std::string& id : m_wanted) {
        const ledger_batch* const batch = m_journal.ledger().find(id);
        if (!batch || batch->isLoaded || m_unreadable.contains(id) || isPaused(batch->submission.model, now))
            continue;
        start(*batch, now);
        return;
    }
}

void batch_loader::start(const ledger_batch& batch, instant now)
{
    const std::shared_ptr<load> started = std::make_shared<load>();
    started->batch = batch.submission.id;
    started->startedAt = now;
    started->reader = std::make_unique<contents_reader>([this, load = started.get()](std::string_view bytes, std::uint64_t offset) { return takeItem(*load, bytes, offset); });
    m_current = started;
    text_scan::handlers handlers;
    handlers.onPiece = [started](std::string_view piece) { return started->reader->read(piece); };
    handlers.onDone = [this, started](scan_end end) { finish(started, end); };
    std::make_shared<text_scan>(m_journal.texts(), *batch.submission.contents, text_read_options {}, std::move(handlers))->start();
}

/// Notes an item that was read; false when it cannot be decoded.
bool batch_loader::takeItem(load& load, std::string_view bytes, std::uint64_t offset)
{
    std::optional<encoded_item> encoded = decodeContentsItem(bytes);
    if (!encoded)
        return false;
    batch_item& item = encoded->item;
    loaded_item loaded { {}, digestsOf(item, encoded->body) };
    loaded.contents.offset = offset;
    loaded.contents.bytes = bytes.size();
    const ledger_batch* const batch = m_journal.ledger().find(load.batch);
    const std::size_t index = load.items.size();
    const bool isUnfinished = batch && batch->isOpen() && index < batch->items.size() && !batch->items[index].position;
    if (isUnfinished && m_cache.admits(bytes.size()))
        item.body = encoded->body;
    item_contents contents = takeContents(item);
    if (isUnfinished && contents.body.size() == encoded->body.size())
        m_cache.offer({ load.batch, index }, std::move(contents));
    loaded.outline = std::move(item);
    load.items.push_back(std::move(loaded));
    return true;
}

void batch_loader::finish(const std::shared_ptr<load>& load, scan_end end)
{
    m_current.reset();
    const instant now = bootNow();
    const std::size_t items = load->items.size();
    const ledger_batch* const batch = m_journal.ledger().find(load->batch);
    m_log.write(log_line(log_level::Info, "batch_loaded")
                    .with("batch", load->batch)
                    .with("items", items)
                    .with("bytes", batch && batch->submission.contents ? batch->submission.contents->bytes : 0)
                    .with("outcome", toString(end))
                    .with("contents_held_bytes", m_cache.held())
                    .with("contents_limit_bytes", m_cache.limit())
                    .with("took_us", (now - load->startedAt).count()));
    const bool isComplete = end == scan_end::Whole && load->reader->isAtEnd() && load->reader->batch() == load->batch;
    if (end == scan_end::Unread) {
        ++m_counters.readFailures;
        pauseModelOf(load->batch);
    } else if (isComplete && m_journal.load(load->batch, std::move(load->items))) {
        ++m_counters.loaded;
    } else if (batch) {
        ++m_counters.unreadable;
        m_unreadable.insert(load->batch);
        m_log.write(log_line(log_level::Error, "batch_unreadable")
                        .with("code", static_cast<int>(result_code::MalformedMessage))
                        .with("batch", load->batch));
    }
    loadNext(now);
}

void batch_loader::pauseModelOf(const std::string& batch)
{
    const ledger_batch* const known = m_journal.ledger().find(batch);
    if (known)
        m_pausedUntil[known->submission.model] = bootNow() + retryPause;
}

}
