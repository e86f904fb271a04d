#pragma once

#include "journal.h"
#include "textscan.h"

#include <rollout/contentscache.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

class log;
class contents_reader;

/// Counts since the start of the process.
struct loader_counters {
    std::uint64_t loaded = 0;
    std::uint64_t readFailures = 0;
    std::uint64_t unreadable = 0;
};

/// Loads the outlines (paths, reward calls) of the items of the batches that this daemon runs, and unloads them afterwards.
///
/// All daemons follow the journal, but only one of them runs a batch. The contents are most of the bytes of a batch, so
/// they are stored apart from the journal and read only by the daemon that needs them. They may take more memory than it has,
/// however many batches are open: they are read a part at a time, one batch after the other, and what a contents_cache has
/// no room for is read again when the item runs.
class batch_loader {
public:
    batch_loader(journal& journal, contents_cache& cache, log& log);

    /// Loads the batches for which \a isWanted returns true, in the order of the ledger, and unloads all others.
    void tick(const std::function<bool(const ledger_batch&)>& isWanted, instant now);
    /// Whether all batches of \a model that were wanted at the last tick are loaded.
    bool isLoaded(std::string_view model) const { return !m_missing.contains(model); }
    /// Memory of what has been read of an item that is not complete.
    std::size_t pendingBytes() const;
    /// Bytes of the stored contents of the batches that are loaded.
    std::uint64_t acceptedBytes() const;
    const loader_counters& counters() const { return m_counters; }

private:
    /// Batch whose contents are being read.
    struct load;

    void unloadUnwanted(const std::function<bool(const ledger_batch&)>& isWanted);
    /// Starts to read the next batch, unless one is being read.
    void loadNext(instant now);
    bool isPaused(const std::string& model, instant now) const;
    void start(const ledger_batch& batch, instant now);
    bool takeItem(load& load, std::string_view bytes, std::uint64_t offset);
    void finish(const std::shared_ptr<load>& load, scan_end end);
    void pauseModelOf(const std::string& batch);

    journal& m_journal;
    contents_cache& m_cache;
    log& m_log;
    /// The batch that is being read; null while none is.
    std::shared_ptr<load> m_current;
    /// Batches that are wanted and not loaded, in the order of the ledger.
    std::vector<std::string> m_wanted;
    /// Their models.
    std::set<std::string, std::less<>> m_missing;
    /// Time until which no batch of a model is read, since reading one failed. The batches of a model have to be loaded in
    /// order.
    std::map<std::string, instant, std::less<>> m_pausedUntil;
    /// Batches whose contents cannot be decoded; they are not read again.
    std::set<std::string, std::less<>> m_unreadable;
    loader_counters m_counters;
};

}
