#include "batchloader.h"

#include "bootclock.h"

#include <core/resultcode.h>
#include <support/log.h>
#include <support/logline.h>

#include <algorithm>

namespace ragwortreach {

namespace {

    constexpr duration retryPause = std::chrono::milliseconds(200);

}

batch_loader::batch_loader(journal& journal, log& log)
    : m_journal(journal)
    , m_log(log)
{
}

void batch_loader::tick(const std::function<bool(const ledger_batch&)>& isWanted, instant now)
{
    std::vector<std::string> unneeded;
    std::vector<std::string> batches;
    std::vector<text_reference> references;
    m_missing.clear();
    for (const std::string& id : m_journal.ledger().order()) {
        const ledger_batch& batch = *m_journal.ledger().find(id);
        if (!batch.submission.contents)
            continue;
        if (!isWanted(batch)) {
            if (batch.isLoaded)
                unneeded.push_back(id);
            continue;
        }
        if (batch.isLoaded || m_unreadable.contains(id))
            continue;
        m_missing.insert(batch.submission.model);
        batches.push_back(id);
        references.push_back(*batch.submission.contents);
    }
    for (const std::string& id : unneeded)
        m_journal.unload(id);
    std::erase_if(m_unreadable, [this](const std::string& id) { return !m_journal.ledger().find(id); });
    if (!batches.empty() && !m_isReading && now >= m_nextReadAt)
        read(std::move(batches), references, now);
}

void batch_loader::read(std::vector<std::string> batches, const std::vector<text_reference>& references, instant now)
{
    m_isReading = true;
    m_nextReadAt = now + retryPause;
    m_journal.texts().read(references, {}, [this, now, ids = std::move(batches)](const text_outcome& contents) {
        m_isReading = false;
        const duration took = bootNow() - now;
        m_log.write(log_line(log_level::Info, "batches_loaded")
                        .with("batches", ids.size())
                        .with("missing", std::count(contents.texts.begin(), contents.texts.end(), nullptr))
                        .with("outcome", contents.isComplete ? "whole" : "the log does not answer")
                        .with("took_us", took.count()));
        applyContents(ids, contents);
    });
}

void batch_loader::applyContents(const std::vector<std::string>& batches, const text_outcome& contents)
{
    if (contents.isComplete)
        m_nextReadAt = {};
    else
        ++m_counters.readFailures;
    std::set<std::string, std::less<>> blockedModels;
    for (std::size_t index = 0; index < batches.size(); ++index) {
        const ledger_batch* const batch = m_journal.ledger().find(batches[index]);
        if (!batch || blockedModels.contains(batch->submission.model))
            continue;
        if (contents.texts[index])
            load(batches[index], *contents.texts[index]);
        else
            blockedModels.insert(batch->submission.model);
    }
}

void batch_loader::load(const std::string& batch, const std::string& contents)
{
    if (m_journal.load(batch, contents)) {
        ++m_counters.loaded;
        return;
    }
    ++m_counters.unreadable;
    m_unreadable.insert(batch);
    m_log.write(log_line(log_level::Error, "batch_unreadable")
                    .with("code", static_cast<int>(result_code::MalformedMessage))
                    .with("batch", batch));
}

}
