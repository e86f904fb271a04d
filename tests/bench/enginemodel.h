#pragma once

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace ragwortreach::Bench {

/// One call at an engine.
struct engine_call {
    std::uint64_t id = 0;
    /// Calls with the same key share a prompt.
    std::uint64_t promptKey = 0;
    std::uint32_t tokens = 0;
};

/// Call that an engine stopped before its end, with the number of tokens generated until then.
struct stopped_call {
    engine_call call;
    std::uint32_t tokensDone = 0;
};

/// Capacity and speed of a simulated engine.
struct engine_settings {
    std::size_t slots = 8;
    std::size_t cachedPrompts = 16;
    /// Time at full speed to process a prompt that is not cached, and one that is.
    duration prefill = std::chrono::milliseconds(400);
    duration cachedPrefill = std::chrono::milliseconds(40);
    /// Time per token at full speed.
    duration token = std::chrono::milliseconds(15);
};

/// Simulated model engine: continuous batching with a fixed number of slots, a queue without priorities and an LRU
/// cache of prompt prefixes. All running calls slow down as slots fill, to half speed when all are used.
class engine_model {
public:
    explicit engine_model(const engine_settings& settings);

    void submit(const engine_call& call);
    /// Advances the simulation by \a time and returns the ids of the calls that finished.
    std::vector<std::uint64_t> step(duration time);
    /// Stops a running or waiting call; nullopt when the engine has no call of this id.
    std::optional<stopped_call> cancel(std::uint64_t id);
    /// Drops all calls and the cache; returns the calls that were running or waiting.
    std::vector<stopped_call> crash();

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint32_t load() const { return running() + waiting(); }
    bool hasCached(std::uint64_t promptKey) const;
    /// Calls whose prompt was cached when they started, and those whose prompt was not.
    std::uint64_t hits() const { return m_hits; }
    std::uint64_t misses() const { return m_misses; }

private:
    struct running_call {
        engine_call call;
        duration prefillLeft {};
        duration decoded {};
    };

    std::uint32_t tokensDone(const running_call& call) const;
    /// Starts waiting calls while slots are free.
    void admit();

    engine_settings m_settings;
    std::vector<running_call> m_running;
    std::deque<engine_call> m_waiting;
    std::list<std::uint64_t> m_cache;
    std::uint64_t m_hits = 0;
    std::uint64_t m_misses = 0;
};

}
