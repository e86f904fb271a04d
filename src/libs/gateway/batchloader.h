#pragma once

#include "journal.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach {

class log;

struct loader_counters {
    std::uint64_t loaded = 0;
    std::uint64_t readFailures = 0;
    std::uint64_t unreadable = 0;
};

/// Reads what the items of batches run with, for the batches that this daemon runs, and drops it afterwards.
///
/// Load pattern: all daemons follow the journal, one runs a batch. The contents are most of the bytes of a batch, so
/// they are read once, and not by each daemon.
class batch_loader {
public:
    batch_loader(journal& journal, log& log);

    /// Loads the batches that \a isWanted names, in their order, and unloads all others.
    void tick(const std::function<bool(const ledger_batch&)>& isWanted, instant now);
    /// Whether all batches of \a model that were wanted at the last tick are loaded.
    bool isLoaded(std::string_view model) const { return !m_missing.contains(model); }
    const loader_counters& counters() const { return m_counters; }

private:
    void read(std::vector<std::string> batches, std::vector<text_reference> references, instant now);
    void applyContents(const std::vector<std::string>& batches, const std::optional<text_store::text_list>& contents);

    journal& m_journal;
    log& m_log;
    bool m_isReading = false;
    instant m_nextReadAt {};
    /// Models with batches that are wanted and not loaded.
    std::set<std::string, std::less<>> m_missing;
    /// Batches whose contents cannot be read.
    std::set<std::string, std::less<>> m_unreadable;
    loader_counters m_counters;
};

}
