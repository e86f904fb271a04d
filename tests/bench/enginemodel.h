#pragma once

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace ragwortreach::Bench {

/// Call at an engine.
struct engine_call {
    std::uint64_t id = 0;
    /// Calls with the same key share a prompt.
    std::uint64_t promptKey = 0;
    std::uint32_t tokens = 0;
};

/// Call that an engine gave up, with the tokens that it had generated.
struct stopped_call {
    engine_call call;
    std::uint32_t tokensDone = 0;
};

struct engine_settings {
    std::size_t slots = 8;
    std::size_t cachedPrompts = 16;
    duration prefill = std::chrono::milliseconds(400);
    duration cachedPrefill = std::chrono::milliseconds(40);
    duration token = std::chrono::milliseconds(15);
};

/// Plain model of an engine: continuous batching in a number of slots, a queue without priorities and a cache of
/// prompt prefixes that drops the least recently used. All calls slow down to half speed as the slots fill.
class engine_model {
public:
    explicit engine_model(const engine_settings& settings);

    void submit(const engine_call& call);
    /// Lets \a time pass and returns the calls that finished.
    std::vector<std::uint64_t> step(duration time);
    std::optional<stopped_call> cancel(std::uint64_t id);
    /// Loses all calls and the cache.
    std::vector<stopped_call> crash();

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint32_t load() const { return running() + waiting(); }
    bool hasCached(std::uint64_t promptKey) const;
    std::uint64_t hits() const { return m_hits; }
    std::uint64_t misses() const { return m_misses; }

private:
    struct running_call {
        engine_call call;
        duration prefillLeft {};
        duration decoded {};
    };

    std::uint32_t tokensDone(const running_call& call) const;
    void admit();

    engine_settings m_settings;
    std::vector<running_call> m_running;
    std::deque<engine_call> m_waiting;
    std::list<std::uint64_t> m_cache;
    std::uint64_t m_hits = 0;
    std::uint64_t m_misses = 0;
};

}
