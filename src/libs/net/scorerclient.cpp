#include "scorerclient.h"

#include "httpclient.h"

#include <core/jsonreader.h>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::size_t maxAnswerBytes = std::size_t { 256 } * 1024;

    std::optional<double> parseReward(const http_outcome& outcome, const http_response& response, std::string_view sampleId)
    {
        if (outcome.code != result_code::Ok || response.status != 200)
            return std::nullopt;
        const json body = parseJson(response.body);
        if (!body.is_object() || !body.contains("reward") || !body.at("reward").is_number())
            return std::nullopt;
        if (optionalText(body, "sample_id") != sampleId)
            return std::nullopt;
        return body.at("reward").get<double>();
    }

}

scorer_client::scorer_client(http_client& client)
    : m_client(client)
{
}

void scorer_client::score(const endpoint& address, const score_request& request, duration timeout,
    std::function<void(std::optional<double>)> handler)
{
    const json body { { "sample_id", request.sampleId }, { "prompt", request.prompt }, { "token_ids", request.tokens } };
    http_request message { "POST", "/score", { { "Content-Type", "application/json" } }, body.dump() };
    http_call_options options;
    options.timeout = timeout;
    options.bodyLimit = maxAnswerBytes;
    m_client.callBuffered(address, std::move(message), options,
        [whenDone = std::move(handler), id = request.sampleId](const http_outcome& outcome, const http_response& response) {
            whenDone(parseReward(outcome, response, id));
        });
}

}
