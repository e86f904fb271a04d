#include "streamfinder.h"

#include "bootclock.h"
#include "factexchange.h"

#include <core/overloaded.h>

#include <utility>

namespace ragwortreach {

stream_finder::stream_finder(fact_exchange& facts, const replica_pool& pool, const std::string& vm)
    : m_facts(facts)
    , m_pool(pool)
    , m_registry(vm, bootNow())
{
    m_facts.setStreamHandlers({ [this](const owner_map& daemons) { m_registry.setDaemons(daemons); },
        [this](const std::string& from, const stream_message& message) {
            m_registry.onMessage(from, message, bootNow());
            executeEffects();
        } });
}

void stream_finder::noteBegun(const std::string& request, const std::string& service, const std::string& software)
{
    if (software.empty())
        return;
    const instant now = bootNow();
    m_history.observe(m_pool, now);
    const bool isShared = m_history.hasSeveral(service, now);
    m_counters.shared += isShared ? 1U : 0U;
    m_registry.add({ request, software, now }, isShared);
    executeEffects();
}

void stream_finder::find(const std::string& request, const std::string& service, std::function<void(const std::string& software)> onFound)
{
    ++m_counters.searched;
    const std::optional<std::string> only = m_history.onlyVersion(service, bootNow());
    if (only) {
        onFound(*only);
        return;
    }
    m_searches.emplace(m_registry.find(request, bootNow()), search { service, std::move(onFound) });
    executeEffects();
}

void stream_finder::tick()
{
    const instant now = bootNow();
    m_registry.tick(now - software_history::retention, now);
    executeEffects();
    m_history.observe(m_pool, now);
}

void stream_finder::executeEffects()
{
    for (const stream_effect& effect : m_registry.takeEffects()) {
        std::visit(overloaded {
                       [this](const send_stream_message& sent) { m_facts.send(sent.vm, sent.message); },
                       [this](const stream_found& found) { finish(found); },
                   },
            effect);
    }
}

void stream_finder::finish(const stream_found& found)
{
    const std::map<stream_number, search>::iterator waiting = m_searches.find(found.number);
    if (waiting == m_searches.end())
        return;
    const search ended = std::move(waiting->second);
    m_searches.erase(waiting);
    const std::string software = found.software.empty() ? versionWithoutNote(ended.service, found.searchedBack) : found.software;
    m_counters.unknown += software.empty() ? 1U : 0U;
    ended.onFound(software);
}

/// A note would have been found if a keeper has kept notes since before several versions were listed.
std::string stream_finder::versionWithoutNote(std::string_view service, duration searchedBack) const
{
    const std::optional<software_history::unnoted_stream> unnoted = m_history.unnotedStream(service);
    if (!unnoted)
        return {};
    const bool mayLackNote = unnoted->severalSince && bootNow() - *unnoted->severalSince > searchedBack;
    return mayLackNote ? std::string() : unnoted->software;
}

}
