#pragma once

#include "journal.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct loader_counters {
    std::uint64_t loaded = 0;
    std::uint64_t readFailures = 0;
    std::uint64_t unreadable = 0;
};

/// Loads the contents (paths, headers, bodies, reward calls) of the items of the batches that this daemon runs, and unloads them
/// afterwards.
///
/// All daemons follow the journal, but only one of them runs a batch. The contents are most of the bytes of a batch, so
/// they are stored apart from the journal and read only by the daemon that needs them.
class batch_loader {
public:
    batch_loader(journal& journal, log& log);

    /// Loads the batches for which \a isWanted returns true, in the order of the ledger, and unloads all others.
    void tick(const std::function<bool(const ledger_batch&)>& isWanted, instant now);
    /// Whether all batches of \a model that were wanted at the last tick are loaded.
    bool isLoaded(std::string_view model) const { return !m_missing.contains(model); }
    const loader_counters& counters() const { return m_counters; }

private:
    /// Starts to read the contents of \a batches; \a references are theirs, in the same order.
    void read(std::vector<std::string> batches, const std::vector<text_reference>& references, instant now);
    /// Loads the batches whose contents were read. The batches of a model have to be loaded in order, so those after one
    /// that was not read wait for it.
    void applyContents(const std::vector<std::string>& batches, const text_outcome& contents);
    void load(const std::string& batch, const std::string& contents);

    journal& m_journal;
    log& m_log;
    bool m_isReading = false;
    instant m_nextReadAt {};
    /// Models with batches that are wanted and not loaded.
    std::set<std::string, std::less<>> m_missing;
    /// Batches whose contents cannot be decoded; they are not read again.
    std::set<std::string, std::less<>> m_unreadable;
    loader_counters m_counters;
};

}
