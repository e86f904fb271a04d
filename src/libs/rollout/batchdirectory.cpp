#include "batchdirectory.h"

#include <algorithm>

namespace ragwortreach {

namespace {
    /// Ended batches of a model that a new owner reads: trainers resubmit items mostly of the last ones.
    constexpr std::size_t maxEndedBatches = 2;
}

const directory_entry* batch_directory::add(std::string_view name, const batch_listed& listed, std::uint64_t offset, instant now)
{
    const std::pair<std::map<std::string, directory_entry, std::less<>>::iterator, bool> added
        = m_entries.try_emplace(std::string(name), directory_entry { listed, offset, now });
    if (!added.second)
        return nullptr;
    added.first->second.isEnded = m_earlyEnds.erase(std::string(name)) > 0;
    return &added.first->second;
}

const directory_entry* batch_directory::find(std::string_view name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

directory_entry* batch_directory::entryOf(std::string_view name)
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

void batch_directory::setEnded(std::string_view name, const batch_ended& end, instant now)
{
    directory_entry* const entry = entryOf(name);
    if (entry)
        entry->isEnded = true;
    else
        m_earlyEnds.try_emplace(std::string(name), early_end { end.batch, now });
}

bool batch_directory::isEnded(std::string_view name) const
{
    const directory_entry* const entry = find(name);
    return entry ? entry->isEnded : m_earlyEnds.contains(name);
}

void batch_directory::setFollowed(std::string_view name, bool isFollowed)
{
    directory_entry* const entry = entryOf(name);
    if (entry)
        entry->isFollowed = isFollowed;
}

void batch_directory::remove(std::string_view name)
{
    const auto found = m_entries.find(name);
    if (found != m_entries.end())
        m_entries.erase(found);
    m_earlyEnds.erase(std::string(name));
}

std::vector<std::string> batch_directory::names() const
{
    std::vector<std::string> names;
    names.reserve(m_entries.size());
    for (const std::pair<const std::string, directory_entry>& entry : m_entries)
        names.push_back(entry.first);
    return names;
}

std::vector<std::string> batch_directory::missing(const std::set<std::string, std::less<>>& models) const
{
    using named_entry = std::pair<const std::string, directory_entry>;
    std::vector<const named_entry*> newestFirst;
    for (const named_entry& entry : m_entries) {
        if (models.contains(entry.second.listed.model))
            newestFirst.push_back(&entry);
    }
    std::sort(newestFirst.begin(), newestFirst.end(),
        [](const named_entry* left, const named_entry* right) { return left->second.offset > right->second.offset; });
    std::map<std::string_view, std::size_t> ended;
    std::vector<std::string> names;
    for (const named_entry* const entry : newestFirst) {
        const bool isNeeded = !entry->second.isEnded || ++ended[entry->second.listed.model] <= maxEndedBatches;
        if (isNeeded && !entry->second.isFollowed)
            names.push_back(entry->first);
    }
    std::reverse(names.begin(), names.end());
    return names;
}

std::vector<std::string> batch_directory::closedBefore(instant limit) const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, directory_entry>& entry : m_entries) {
        if (entry.second.isEnded && !entry.second.isFollowed && entry.second.learnedAt < limit)
            names.push_back(entry.first);
    }
    return names;
}

std::vector<std::string> batch_directory::earlyEndsBefore(instant limit) const
{
    std::vector<std::string> batches;
    for (const std::pair<const std::string, early_end>& item : m_earlyEnds) {
        if (item.second.learnedAt < limit)
            batches.push_back(item.second.batch);
    }
    return batches;
}

}
