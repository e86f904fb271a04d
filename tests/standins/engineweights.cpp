#include "engineweights.h"

using nlohmann::json;

namespace ragwortreach::StandIns {

model_weights parsedWeights(const json& value)
{
    if (!value.is_object())
        return {};
    return { value.value("base", std::uint64_t(0)), value.value("adapter", std::uint64_t(0)) };
}

json toJson(const model_weights& weights)
{
    return { { "base", weights.base }, { "adapter", weights.adapter } };
}

json toJson(const weights_set& weights)
{
    json list = json::array();
    for (const model_weights& version : weights)
        list.push_back(toJson(version));
    return list;
}

engine_weights::engine_weights(model_weights initial)
    : m_initial(initial)
    , m_reported(initial)
    , m_otherHalf(initial)
{
}

model_weights engine_weights::producerAt(std::uint64_t position) const
{
    return position % 2 == 0 ? m_reported : m_otherHalf;
}

void engine_weights::swap(model_weights wanted)
{
    m_reported = wanted;
    m_otherHalf = wanted;
}

void engine_weights::swapPartway(model_weights wanted)
{
    m_otherHalf = wanted;
}

void engine_weights::restart()
{
    swap({ m_initial.base, 0 });
}

}
