#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <set>

namespace ragwortreach::StandIns {

/// Base and adapter version of a model's weights.
struct model_weights {
    std::uint64_t base = 0;
    std::uint64_t adapter = 0;

    friend std::strong_ordering operator<=>(const model_weights&, const model_weights&) = default;
};

using weights_set = std::set<model_weights>;

model_weights parsedWeights(const nlohmann::json& value);
nlohmann::json toJson(const model_weights& weights);
nlohmann::json toJson(const weights_set& weights);

/// The weights on the ranks of one engine. After a swap that failed partway, two versions take turns.
class engine_weights {
public:
    explicit engine_weights(model_weights initial);

    /// The version that the engine reports as its own.
    model_weights reported() const { return m_reported; }
    /// The version that produces the token at \a position.
    model_weights producerAt(std::uint64_t position) const;

    void swap(model_weights wanted);
    /// Swaps half of the ranks; the reported version stays.
    void swapPartway(model_weights wanted);
    /// Back to the base weights, without an adapter.
    void restart();

private:
    model_weights m_initial;
    model_weights m_reported;
    model_weights m_otherHalf;
};

}
