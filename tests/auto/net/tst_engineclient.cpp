#include <net/engineclient.h>
#include <net/httpserver.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace ragwortreach;

namespace {

const std::string firstChunk = R"(data: {"choices":[{"text":"a","token_ids":[1,2],"finish_reason":null}],"weights":[{"base":1,"adapter":7}]})"
                               "\n\n";
const std::string lastChunk = R"(data: {"choices":[{"text":"b","token_ids":[3],"finish_reason":"stop"}],"weights":[{"base":1,"adapter":7}]})"
                              "\n\ndata: [DONE]\n\n";
const std::string cancelled = R"(data: {"choices":[{"text":"","token_ids":[],"finish_reason":"cancelled"}],"weights":[]})"
                              "\n\ndata: [DONE]\n\n";

struct stream_case {
    const char* name;
    int status;
    std::string body;
    bool isRefusedBeforeRun;
    bool isAborted;
    result_code code;
    std::size_t tokens;
};

const stream_case streamCases[] = {
    { "complete stream", 200, firstChunk + lastChunk, false, false, result_code::Ok, 3 },
    { "lines that end with CR LF", 200, "data: {\"choices\":[{\"token_ids\":[1],\"finish_reason\":\"length\"}],\"weights\":[]}\r\n\r\n", false, false, result_code::Ok, 1 },
    { "cancelled by another client", 200, firstChunk + cancelled, false, false, result_code::UpstreamTruncated, 2 },
    { "ended without a finish reason", 200, firstChunk + "data: [DONE]\n\n", false, false, result_code::UpstreamTruncated, 2 },
    { "interrupted in the body", 200, firstChunk, false, true, result_code::UpstreamTruncated, 2 },
    { "chunk that is no JSON", 200, firstChunk + "data: {\"choi\n\n" + lastChunk, false, false, result_code::MalformedMessage, 2 },
    { "chunk without tokens", 200, "data: {\"choices\":[]}\n\n" + lastChunk, false, false, result_code::MalformedMessage, 0 },
    { "refused and not run", 503, "{}", true, false, result_code::UpstreamRefused, 0 },
    { "refused without saying whether it ran", 503, "{}", false, false, result_code::UpstreamBroken, 0 },
};

void answer(const http_exchange& exchange, const stream_case& row)
{
    http_response_head head { row.status, {}, {} };
    if (row.isRefusedBeforeRun)
        head.headers.push_back({ "X-Upstream-Ran", "no" });
    exchange.beginStream(head);
    exchange.write(row.body);
    if (row.isAborted)
        exchange.setDrainedHandler([exchange] { exchange.abort(); });
    else
        exchange.endStream();
}

}

TEST_CASE("A stream is complete only with a finish reason of the engine itself")
{
    for (const stream_case& row : streamCases) {
        DYNAMIC_SECTION(row.name)
        {
            boost::asio::io_context context;
            http_server server(
                context, {}, [&row](const http_exchange& exchange) { answer(exchange, row); }, [](std::error_code) { return http_response(); });
            REQUIRE_FALSE(server.listen({ "127.0.0.1", 0 }));
            http_client client(context);
            engine_client engines(client);
            std::size_t tokens = 0;
            std::optional<result_code> code;
            engines.complete(
                { "127.0.0.1", server.port() }, {}, std::chrono::seconds(20), [&tokens](const completion_chunk& chunk) { tokens += chunk.tokens.size(); },
                [&](const http_outcome& outcome) {
                    code = outcome.code;
                    context.stop();
                });
            context.run();
            CHECK(code == row.code);
            CHECK(tokens == row.tokens);
        }
    }
}
