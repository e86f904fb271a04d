#include "batchsample.h"

#include "jsonreader.h"

#include <utility>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    json toDocument(const token_span& span)
    {
        json weights = json::array();
        for (const weight_version& version : span.versions)
            weights.push_back({ { "base", version.base }, { "adapter", version.adapter } });
        return { { "begin", span.begin }, { "end", span.end }, { "weights", std::move(weights) } };
    }

    token_span spanOf(const json& document)
    {
        token_span span;
        document.at("begin").get_to(span.begin);
        document.at("end").get_to(span.end);
        for (const json& weights : document.at("weights"))
            span.versions.push_back({ wholeNumber<std::uint64_t>(weights.at("base")), wholeNumber<std::uint64_t>(weights.at("adapter")) });
        return span;
    }

    batch_sample sampleOf(const json& document)
    {
        batch_sample sample;
        document.at("slot").get_to(sample.slot);
        document.at("group").get_to(sample.group);
        document.at("index").get_to(sample.index);
        document.at("attempt").get_to(sample.attempt);
        document.at("token_ids").get_to(sample.tokenIds);
        document.at("text").get_to(sample.text);
        const json& reward = document.at("reward");
        if (!reward.is_null())
            sample.reward = reward.get<double>();
        std::vector<token_span> spans;
        for (const json& span : document.at("spans"))
            spans.push_back(spanOf(span));
        sample.label = sample_label::fromSpans(spans);
        return sample;
    }

}

std::string toJson(const batch_sample& sample)
{
    json document {
        { "slot", sample.slot },
        { "group", sample.group },
        { "index", sample.index },
        { "attempt", sample.attempt },
        { "token_ids", sample.tokenIds },
        { "text", sample.text },
        { "reward", nullptr },
        { "spans", json::array() },
    };
    if (sample.reward)
        document["reward"] = *sample.reward;
    for (const token_span& span : sample.label.spans())
        document["spans"].push_back(toDocument(span));
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<batch_sample> parseSample(std::string_view text)
{
    try {
        const json document = parseJson(text);
        batch_sample sample = sampleOf(document);
        if (sample.label.isInvalid() || sample.tokenIds.empty() || sample.label.tokens() != sample.tokenIds.size())
            return std::nullopt;
        return sample;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
