#include "engineclient.h"

#include "ssereader.h"

#include <core/jsonreader.h>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::chrono::seconds controlTimeout { 2 };
    constexpr std::size_t maxControlAnswerBytes = std::size_t { 256 } * 1024;

    /// State of one completion while its stream is read.
    struct completion_stream {
        std::function<void(completion_chunk)> onChunk;
        std::function<void(const http_outcome&)> onDone;
        std::optional<sse_reader> reader;
        http_outcome failure;
        int status = 0;
        bool isRefusedBeforeRun = false;
        bool isFinished = false;
    };

    http_request jsonRequest(std::string_view target, const json& body)
    {
        return { "POST", std::string(target), { { "Content-Type", "application/json" } }, body.dump() };
    }

    weight_version parseVersion(const json& value)
    {
        return { wholeNumber<std::uint64_t>(value.at("base")), wholeNumber<std::uint64_t>(value.at("adapter")) };
    }

    std::vector<weight_version> parseVersions(const json& event)
    {
        std::vector<weight_version> versions;
        if (!event.contains("weights"))
            return versions;
        const json& list = event.at("weights");
        for (auto it = list.begin(); it != list.end(); ++it)
            versions.push_back(parseVersion(*it));
        return versions;
    }

    /// Whether the engine completed the sample. A stream that was cancelled has another finish reason.
    bool isCompleteFinish(const json& choice)
    {
        const json reason = choice.value("finish_reason", json());
        return reason == "stop" || reason == "length";
    }

    completion_chunk parseChunk(const json& event)
    {
        completion_chunk chunk;
        const json& choice = event.at("choices").at(0);
        chunk.tokens = choice.at("token_ids").get<std::vector<std::uint32_t>>();
        chunk.text = choice.value("text", std::string());
        chunk.versions = parseVersions(event);
        chunk.isFinished = isCompleteFinish(choice);
        return chunk;
    }

    void readEvent(completion_stream& stream, std::string_view data)
    {
        if (data == "[DONE]" || stream.failure.code != result_code::Ok)
            return;
        try {
            completion_chunk chunk = parseChunk(parseJson(data));
            stream.isFinished = stream.isFinished || chunk.isFinished;
            stream.onChunk(std::move(chunk));
        } catch (const json::exception&) {
            stream.failure = { result_code::MalformedMessage, "The engine sent a chunk that cannot be parsed." };
        }
    }

    http_outcome streamOutcome(const completion_stream& stream, const http_outcome& outcome)
    {
        if (outcome.code != result_code::Ok)
            return outcome;
        if (stream.status != 200) {
            const result_code code = stream.isRefusedBeforeRun ? result_code::UpstreamRefused : result_code::UpstreamBroken;
            return { code, "The engine answered with status " + std::to_string(stream.status) + "." };
        }
        if (stream.failure.code != result_code::Ok)
            return stream.failure;
        if (!stream.isFinished)
            return { result_code::UpstreamTruncated, "The stream ended without a finish reason." };
        return {};
    }

    http_call_options controlOptions()
    {
        http_call_options options;
        options.timeout = controlTimeout;
        options.bodyLimit = maxControlAnswerBytes;
        return options;
    }

    std::optional<engine_state> parseState(const http_outcome& outcome, const http_response& response)
    {
        if (outcome.code != result_code::Ok || response.status != 200)
            return std::nullopt;
        try {
            const json body = parseJson(response.body);
            engine_state state;
            state.weights = parseVersion(body.at("weights"));
            state.isLoading = body.value("loading", false);
            state.fencing = wholeNumberAt<std::uint64_t>(body, "fencing", 0);
            state.running = wholeNumberAt<std::uint32_t>(body, "running", 0);
            state.waiting = wholeNumberAt<std::uint32_t>(body, "waiting", 0);
            return state;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    order_answer parseOrderAnswer(const http_outcome& outcome, const http_response& response)
    {
        if (outcome.code != result_code::Ok)
            return { outcome.code, 0 };
        const json body = parseJson(response.body);
        const std::uint64_t fencing = optionalNumber(body, "fencing");
        const bool isAccepted = response.status == 202 || response.status == 200;
        return { isAccepted ? result_code::Ok : result_code::UpstreamRefused, fencing };
    }

}

engine_client::engine_client(http_client& client)
    : m_client(client)
{
}

http_call_handle engine_client::complete(const endpoint& address, const completion_request& request,
    duration timeout, std::function<void(completion_chunk)> onChunk, std::function<void(const http_outcome&)> onDone)
{
    json body { { "model", request.model }, { "prompt", request.prompt }, { "max_tokens", request.maxTokens },
        { "seed", request.seed }, { "stream", true }, { "request_id", request.requestId } };
    if (!request.resumeTokens.empty())
        body["resume_token_ids"] = request.resumeTokens;
    const std::shared_ptr<completion_stream> stream = std::make_shared<completion_stream>();
    stream->onChunk = std::move(onChunk);
    stream->onDone = std::move(onDone);
    completion_stream* const reading = stream.get();
    stream->reader.emplace([reading](std::string_view data) { readEvent(*reading, data); });
    http_call_handlers handlers;
    handlers.onHead = [stream](const http_response_head& head) {
        stream->status = head.status;
        stream->isRefusedBeforeRun = headerValue(head.headers, "X-Upstream-Ran") == "no";
    };
    handlers.onBody = [stream](std::string_view piece) { stream->reader->read(piece); };
    handlers.onDone = [stream](const http_outcome& outcome) { stream->onDone(streamOutcome(*stream, outcome)); };
    http_call_options options;
    options.timeout = timeout;
    return m_client.call(address, jsonRequest("/v1/completions", body), options, std::move(handlers));
}

void engine_client::cancel(const endpoint& address, std::string_view requestId)
{
    m_client.callBuffered(address, jsonRequest("/v1/cancel", json { { "request_id", requestId } }), controlOptions(),
        [](const http_outcome&, const http_response&) {});
}

void engine_client::readState(const endpoint& address, std::function<void(std::optional<engine_state>)> handler)
{
    http_request request;
    request.target = "/state";
    m_client.callBuffered(address, std::move(request), controlOptions(),
        [whenDone = std::move(handler)](const http_outcome& outcome, const http_response& response) {
            whenDone(parseState(outcome, response));
        });
}

void engine_client::orderLoad(const endpoint& address, std::string_view model, const weight_version& weights,
    std::uint64_t fencing, std::function<void(order_answer)> handler)
{
    const json body { { "order", "load" }, { "model", model }, { "fencing", fencing },
        { "weights", { { "base", weights.base }, { "adapter", weights.adapter } } } };
    m_client.callBuffered(address, jsonRequest("/orders", body), controlOptions(),
        [whenDone = std::move(handler)](const http_outcome& outcome, const http_response& response) {
            whenDone(parseOrderAnswer(outcome, response));
        });
}

}
