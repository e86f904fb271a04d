#pragma once

#include "journal.h"
#include "textread.h"

#include <rollout/contentscache.h>

#include <functional>
#include <optional>

namespace ragwortreach {

/// Reads the contents of one item of \a batch, which has to be loaded, from the text store. \a onDone gets nothing when they
/// cannot be read.
void readContents(text_store& texts, const ledger_batch& batch, std::size_t item, text_read_options options,
    std::function<void(std::optional<item_contents>)> onDone);

/// Reads the contents that a contents_cache lacks.
class contents_fetcher {
public:
    /// \a onRead is called after each read, and must not read itself.
    contents_fetcher(journal& journal, contents_cache& cache, std::function<void()> onRead);

    /// Begins the reads that the cache asks for.
    void readMissing();

private:
    void read(const item_key& key);

    journal& m_journal;
    contents_cache& m_cache;
    std::function<void()> m_onRead;
};

}
