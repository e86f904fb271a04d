#pragma once

#include "itemkey.h"
#include "journalrecord.h"

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Counts since the start of the process.
struct contents_counters {
    /// Contents that were read for a run or a reward call, and their bytes.
    std::uint64_t read = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t readFailures = 0;
    /// Contents that gave way to others.
    std::uint64_t evicted = 0;
};

/// What contents are needed for.
enum class contents_use {
    Run,
    /// Goes before runs, since an item whose text is complete waits for it.
    Reward,
};

/// Contents of items that run soon, up to a number of bytes.
///
/// A batch may be larger than the memory of its owner, and the log keeps its contents as long as it is open. So they are read
/// shortly before they are needed, in the order in which the scheduler names them, and dropped when others need the room.
/// The contents of a usual batch fit the limit and are read once.
///
/// Contents that are being sent stay until they are sent. One larger item may be here while nothing else is.
class contents_cache {
public:
    static constexpr std::size_t defaultLimit = std::size_t { 32 } * 1024 * 1024;

    void setLimit(std::size_t bytes) { m_limit = bytes; }
    std::size_t limit() const { return m_limit; }
    /// Bytes of the contents that are here.
    std::size_t held() const { return m_held; }

    /// The contents of \a key; null when they are not here. Valid until the next call that is not const.
    const item_contents* find(const item_key& key) const;
    /// Bytes of the contents that are here and of those that are being read.
    std::size_t committed() const { return m_held + m_readingBytes; }
    /// Sets the size of the largest item that may be here beyond the limit, while nothing else is.
    void setLargestItem(std::size_t bytes) { m_largestItem = bytes; }

    /// Whether there is room for contents of \a bytes that were read for another reason. Notes that some are left out if not.
    bool admits(std::size_t bytes);
    /// Keeps such contents, if there is room.
    void offer(const item_key& key, item_contents contents);

    /// Begins to name what is needed.
    void beginPass();
    /// Names contents of \a bytes that are needed next, after those that were named before in this pass. \return whether they
    /// are here; otherwise they will be read, if they fit beside those named before.
    bool need(const item_key& key, std::size_t bytes, contents_use use);
    /// Whether what is needed later has to be named as well: some of it may not be here.
    bool wantsLookAhead() const { return m_hasLeftOut && !isPassFull(contents_use::Run); }
    /// Ends the pass at \a now: makes room for what was named.
    void endPass(instant now);
    /// Returns the contents to read, in order; each is answered by add() or noteUnread().
    std::vector<item_key> takeReads();
    /// Adds contents that were read.
    void add(const item_key& key, item_contents contents);
    /// The contents could not be read; they are read again after a pause.
    void noteUnread(const item_key& key, instant now);

    /// Drops contents that are no longer needed.
    void drop(const item_key& key);
    /// Drops the contents of a batch.
    void forget(std::string_view batch);
    const contents_counters& counters() const { return m_counters; }

private:
    struct entry {
        item_contents contents;
        std::size_t bytes = 0;
        /// Pass that has named it last.
        std::uint64_t neededIn = 0;
    };
    struct needed_item {
        item_key key;
        std::size_t bytes = 0;
    };
    using entry_map = std::map<item_key, entry>;

    static bool isInUse(const entry& entry);
    void insert(const item_key& key, item_contents contents);
    entry_map::iterator erase(entry_map::iterator found);
    /// Whether contents that are named now would be beyond the part of the limit for their \a use.
    bool isPassFull(contents_use use) const;
    /// Has those of \a items read that fit; false when there is no room for more.
    bool readMissing(const std::vector<needed_item>& items);
    /// Drops contents that were not named in this pass until \a bytes fit; false when they do not.
    bool makeRoomFor(std::size_t bytes);
    bool mayRead(std::size_t bytes);

    std::size_t m_limit = defaultLimit;
    std::size_t m_largestItem = std::numeric_limits<std::size_t>::max();
    std::size_t m_held = 0;
    entry_map m_entries;
    std::uint64_t m_pass = 0;
    std::size_t m_passBytes = 0;
    /// Contents that were named in this pass and are not here, in order.
    std::vector<needed_item> m_missingForRuns;
    std::vector<needed_item> m_missingForRewards;
    /// Contents of loaded batches may not be here.
    bool m_hasLeftOut = false;
    /// Bytes of the contents that are being read.
    std::map<item_key, std::size_t> m_reading;
    std::size_t m_readingBytes = 0;
    std::vector<item_key> m_reads;
    /// Time before which contents are not read again.
    std::map<item_key, instant> m_notBefore;
    contents_counters m_counters;
};

}
