#include "enginemodel.h"

#include <algorithm>

namespace ragwortreach::Bench {

engine_model::engine_model(const engine_settings& settings)
    : m_settings(settings)
{
}

void engine_model::submit(const engine_call& call)
{
    m_waiting.push_back(call);
    admit();
}

std::vector<std::uint64_t> engine_model::step(duration time)
{
    const double fill = static_cast<double>(m_running.size()) / static_cast<double>(m_settings.slots);
    const duration work = std::chrono::duration_cast<duration>(time / (1 + fill));
    std::vector<std::uint64_t> finished;
    for (running_call& running : m_running) {
        const duration prefill = std::min(work, running.prefillLeft);
        running.prefillLeft -= prefill;
        running.decoded += work - prefill;
        if (tokensDone(running) == running.call.tokens)
            finished.push_back(running.call.id);
    }
    std::erase_if(m_running, [this](const running_call& running) { return tokensDone(running) == running.call.tokens; });
    admit();
    return finished;
}

std::optional<stopped_call> engine_model::cancel(std::uint64_t id)
{
    const auto running = std::find_if(m_running.begin(), m_running.end(), [id](const running_call& candidate) { return candidate.call.id == id; });
    if (running != m_running.end()) {
        const stopped_call stopped { running->call, tokensDone(*running) };
        m_running.erase(running);
        admit();
        return stopped;
    }
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), [id](const engine_call& candidate) { return candidate.id == id; });
    if (waiting == m_waiting.end())
        return std::nullopt;
    const stopped_call stopped { *waiting, 0 };
    m_waiting.erase(waiting);
    return stopped;
}

std::vector<stopped_call> engine_model::crash()
{
    std::vector<stopped_call> stopped;
    for (const running_call& running : m_running)
        stopped.push_back({ running.call, tokensDone(running) });
    for (const engine_call& waiting : m_waiting)
        stopped.push_back({ waiting, 0 });
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
    return stopped;
}

bool engine_model::hasCached(std::uint64_t promptKey) const
{
    return std::find(m_cache.begin(), m_cache.end(), promptKey) != m_cache.end();
}

std::uint32_t engine_model::tokensDone(const running_call& running) const
{
    return static_cast<std::uint32_t>(std::min<std::int64_t>(running.call.tokens, running.decoded / m_settings.token));
}

void engine_model::admit()
{
    while (m_running.size() < m_settings.slots && !m_waiting.empty()) {
        const engine_call call = m_waiting.front();
        m_waiting.pop_front();
        const bool isHit = hasCached(call.promptKey);
        ++(isHit ? m_hits : m_misses);
        m_cache.remove(call.promptKey);
        m_cache.push_front(call.promptKey);
        if (m_cache.size() > m_settings.cachedPrompts)
            m_cache.pop_back();
        m_running.push_back({ call, isHit ? m_settings.cachedPrefill : m_settings.prefill, {} });
    }
}

}
