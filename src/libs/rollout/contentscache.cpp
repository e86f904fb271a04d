#include "contentscache.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    constexpr duration retryPause = std::chrono::milliseconds(200);
    /// Reads at the same time. Contents that lie together share the requests to the log.
    constexpr std::size_t maxReads = 4;
    /// One part in this number is left to reward calls.
    constexpr std::size_t runParts = 4;

}

const item_contents* contents_cache::find(const item_key& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second.contents;
}

bool contents_cache::admits(std::size_t bytes)
{
    const bool hasRoom = committed() + bytes <= m_limit;
    m_hasLeftOut = m_hasLeftOut || !hasRoom;
    return hasRoom;
}

void contents_cache::offer(const item_key& key, item_contents contents)
{
    if (admits(contents.bytes()))
        insert(key, std::move(contents));
}

void contents_cache::beginPass()
{
    ++m_pass;
    m_passBytes = 0;
    m_missingForRuns.clear();
    m_missingForRewards.clear();
}

bool contents_cache::isPassFull(contents_use use) const
{
    return m_passBytes >= (use == contents_use::Reward ? m_limit : m_limit / runParts * (runParts - 1));
}

bool contents_cache::need(const item_key& key, std::size_t bytes, contents_use use)
{
    const entry_map::iterator found = m_entries.find(key);
    const bool isHere = found != m_entries.end();
    m_hasLeftOut = m_hasLeftOut || !isHere;
    if (isPassFull(use))
        return isHere;
    m_passBytes += isHere ? found->second.bytes : bytes;
    if (isHere)
        found->second.neededIn = m_pass;
    else
        (use == contents_use::Reward ? m_missingForRewards : m_missingForRuns).push_back({ key, bytes });
    return isHere;
}

void contents_cache::endPass(instant now)
{
    std::erase_if(m_notBefore, [now](const std::pair<const item_key, instant>& paused) { return paused.second <= now; });
    makeRoomFor(0);
    const bool isAllNamed = !isPassFull(contents_use::Run);
    m_hasLeftOut = m_hasLeftOut && !(isAllNamed && m_missingForRuns.empty() && m_missingForRewards.empty());
    if (readMissing(m_missingForRewards))
        readMissing(m_missingForRuns);
}

bool contents_cache::readMissing(const std::vector<needed_item>& items)
{
    for (const needed_item& item : items) {
        if (m_reading.size() >= maxReads)
            return false;
        if (m_reading.contains(item.key) || m_notBefore.contains(item.key))
            continue;
        if (!mayRead(item.bytes))
            return false;
        m_reading.emplace(item.key, item.bytes);
        m_readingBytes += item.bytes;
        m_reads.push_back(item.key);
    }
    return true;
}

std::vector<item_key> contents_cache::takeReads()
{
    return std::exchange(m_reads, {});
}

void contents_cache::add(const item_key& key, item_contents contents)
{
    ++m_counters.read;
    m_counters.readBytes += contents.bytes();
    const std::map<item_key, std::size_t>::iterator reading = m_reading.find(key);
    if (reading == m_reading.end())
        return;
    m_readingBytes -= reading->second;
    m_reading.erase(reading);
    insert(key, std::move(contents));
    m_entries.find(key)->second.neededIn = m_pass;
}

void contents_cache::noteUnread(const item_key& key, instant now)
{
    ++m_counters.readFailures;
    const std::map<item_key, std::size_t>::iterator reading = m_reading.find(key);
    if (reading == m_reading.end())
        return;
    m_readingBytes -= reading->second;
    m_reading.erase(reading);
    m_notBefore[key] = now + retryPause;
}

void contents_cache::drop(const item_key& key)
{
    const entry_map::iterator found = m_entries.find(key);
    if (found != m_entries.end())
        erase(found);
}

void contents_cache::forget(std::string_view batch)
{
    const auto isOfBatch = [batch](const item_key& key) { return key.batch == batch; };
    for (entry_map::iterator it = m_entries.lower_bound({ std::string(batch), 0 }); it != m_entries.end() && isOfBatch(it->first);)
        it = erase(it);
}

/// Whether the contents are being sent.
bool contents_cache::isInUse(const entry& entry)
{
    return entry.contents.body.isShared() || entry.contents.rewardBody.isShared();
}

void contents_cache::insert(const item_key& key, item_contents contents)
{
    const std::size_t bytes = contents.bytes();
    if (m_entries.try_emplace(key, entry { std::move(contents), bytes, 0 }).second)
        m_held += bytes;
}

contents_cache::entry_map::iterator contents_cache::erase(entry_map::iterator found)
{
    m_held -= found->second.bytes;
    return m_entries.erase(found);
}

bool contents_cache::makeRoomFor(std::size_t bytes)
{
    const auto fits = [this, bytes] { return committed() + bytes <= m_limit; };
    for (entry_map::iterator it = m_entries.begin(); !fits() && it != m_entries.end();) {
        if (it->second.neededIn == m_pass || isInUse(it->second)) {
            ++it;
            continue;
        }
        ++m_counters.evicted;
        m_hasLeftOut = true;
        it = erase(it);
    }
    return fits();
}

/// Contents larger than the limit are read when nothing else is here.
bool contents_cache::mayRead(std::size_t bytes)
{
    return makeRoomFor(bytes) || (committed() == 0 && bytes <= m_largestItem);
}

}
