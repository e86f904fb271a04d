#include "logclient.h"

#include "httpclient.h"

#include <core/jsonreader.h>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::chrono::seconds answerTimeout { 3 };
    constexpr std::size_t maxPageBytes = std::size_t { 64 } * 1024 * 1024;

    std::string appendBody(std::span<const log_append> records)
    {
        json list = json::array();
        for (const log_append& record : records)
            list.push_back({ { "id", record.id }, { "data", json::parse(record.data) } });
        return json { { "records", std::move(list) } }.dump();
    }

    result_code appendResult(const http_outcome& outcome, int status)
    {
        if (outcome.code == result_code::UpstreamUnreachable)
            return result_code::LogUnavailable;
        if (outcome.code != result_code::Ok)
            return result_code::AppendUnknown;
        return status == 200 ? result_code::Ok : result_code::LogUnavailable;
    }

    log_page parsePage(const json& body)
    {
        log_page page;
        page.firstRetained = wholeNumberAt<std::uint64_t>(body, "first_retained", 0);
        page.next = wholeNumberAt<std::uint64_t>(body, "next", 0);
        page.end = wholeNumberAt<std::uint64_t>(body, "end", page.next);
        if (!body.contains("records"))
            return page;
        const json& records = body.at("records");
        for (auto it = records.begin(); it != records.end(); ++it)
            page.records.push_back({ wholeNumber<std::uint64_t>(it->at("offset")), it->at("id").get<std::string>(), it->at("data").dump() });
        return page;
    }

    void reportPage(const http_outcome& outcome, const http_response& response, const log_client::read_handler& handler)
    {
        const bool isPage = outcome.code == result_code::Ok && (response.status == 200 || response.status == 410);
        if (!isPage) {
            handler(result_code::LogUnavailable, {});
            return;
        }
        log_page page;
        try {
            page = parsePage(parseJson(response.body));
        } catch (const json::exception&) {
            handler(result_code::LogUnavailable, {});
            return;
        }
        handler(response.status == 410 ? result_code::LogTruncated : result_code::Ok, std::move(page));
    }

}

log_client::log_client(http_client& client, endpoint address)
    : m_client(client)
    , m_address(std::move(address))
{
}

void log_client::append(std::string_view stream, std::span<const log_append> records, append_handler handler)
{
    http_request request { "POST", "/streams/" + std::string(stream) + "/records",
        { { "Content-Type", "application/json" } }, appendBody(records) };
    http_call_options options;
    options.timeout = answerTimeout;
    m_client.callBuffered(m_address, std::move(request), options,
        [whenDone = std::move(handler)](const http_outcome& outcome, const http_response& response) {
            const result_code code = appendResult(outcome, response.status);
            const json body = parseJson(response.body);
            const bool hasOffset = code == result_code::Ok && body.is_object() && body.contains("first") && body["first"].is_number_unsigned();
            if (code == result_code::Ok && !hasOffset) {
                whenDone(result_code::AppendUnknown, 0);
                return;
            }
            whenDone(code, hasOffset ? body.at("first").get<std::uint64_t>() : 0);
        });
}

void log_client::read(std::string_view stream, std::uint64_t from, std::size_t maxRecords, duration wait,
    read_handler handler)
{
    const std::int64_t waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http_request request;
    request.target = "/streams/" + std::string(stream) + "/records?from=" + std::to_string(from)
        + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(waitMs);
    http_call_options options;
    options.timeout = wait + answerTimeout;
    options.bodyLimit = maxPageBytes;
    m_client.callBuffered(m_address, std::move(request), options,
        [whenDone = std::move(handler)](const http_outcome& outcome, const http_response& response) {
            reportPage(outcome, response, whenDone);
        });
}

}
