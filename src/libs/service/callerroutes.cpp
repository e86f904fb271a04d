#include "callerroutes.h"

#include "callproxy.h"
#include "problem.h"

#include <core/cataloguetable.h>

#include <core/jsonreader.h>
#include <xxhash.h>

#include <charconv>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::string_view batchesPath = "/v1/batches";
    constexpr std::string_view completionsPath = "/v1/completions";
    constexpr std::size_t maxRequestIdBytes = 64;
    constexpr std::size_t prefixBytes = 512;
    constexpr std::int64_t maxTimeoutMilliseconds = 3600000;

    std::uint64_t hashOf(std::string_view text)
    {
        return XXH3_64bits(text.data(), text.size());
    }

    /// Whether \a text is a valid id of a request or batch.
    bool isToken(std::string_view text)
    {
        constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
        return !text.empty() && text.size() <= maxRequestIdBytes && text.find_first_not_of(allowed) == std::string_view::npos;
    }

    std::string_view headerOf(const http_exchange& exchange, std::string_view name)
    {
        return headerValue(exchange.request().headers, name).value_or(std::string_view());
    }

    /// Value of X-Due-Ms in milliseconds; nothing when it is out of its range.
    std::optional<std::int64_t> parseTimeout(std::string_view text)
    {
        std::int64_t milliseconds = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
        if (!isNumber || milliseconds < 1 || milliseconds > maxTimeoutMilliseconds)
            return std::nullopt;
        return milliseconds;
    }

}

caller_routes::caller_routes(std::string idPrefix, const catalogue_table& catalogue, call_proxy& proxy, batch_handler onBatch)
    : m_idPrefix(std::move(idPrefix))
    , m_catalogue(catalogue)
    , m_proxy(proxy)
    , m_onBatch(std::move(onBatch))
{
}

void caller_routes::handle(const http_exchange& exchange)
{
    const std::string_view path = targetPath(exchange.request().target);
    if (path.starts_with(servicePrefix))
        handleService(exchange, path);
    else if (path == completionsPath)
        handleCompletion(exchange);
    else if (path == batchesPath || path.starts_with("/v1/batches/"))
        handleBatches(exchange, path);
    else
        refuse(exchange, result_code::UnknownRoute, {});
}

call_arrived caller_routes::makeCall(const http_exchange& exchange)
{
    call_arrived call;
    call.number = ++m_lastNumber;
    const std::string_view requestId = headerOf(exchange, "X-Request-Id");
    call.requestId = isToken(requestId) ? std::string(requestId) : m_idPrefix + std::to_string(call.number);
    call.owner = headerOf(exchange, "X-Owner");
    call.idempotencyKey = headerOf(exchange, "Idempotency-Key");
    const std::string content = exchange.request().method + ' ' + exchange.request().target + '\n' + std::string(exchange.request().body.view());
    call.bodyHash = hashOf(content);
    return call;
}

void caller_routes::handleService(const http_exchange& exchange, std::string_view path)
{
    call_arrived call = makeCall(exchange);
    const std::string_view rest = path.substr(servicePrefix.size());
    const std::size_t slash = rest.find('/');
    call.entry = rest.substr(0, slash);
    const std::string_view timeoutText = headerOf(exchange, "X-Due-Ms");
    const std::optional<std::int64_t> timeoutMilliseconds = timeoutText.empty() ? std::nullopt : parseTimeout(timeoutText);
    if (!timeoutText.empty() && !timeoutMilliseconds) {
        refuse(exchange, result_code::ValueOutOfRange, "X-Due-Ms is not a whole number from 1 to 3600000.");
        return;
    }
    call.callerTimeout = std::chrono::milliseconds(timeoutMilliseconds.value_or(0));
    const std::string_view target = exchange.request().target;
    const std::size_t upstreamStart = servicePrefix.size() + (slash == std::string_view::npos ? rest.size() : slash);
    std::string upstreamTarget(target.substr(upstreamStart));
    if (!upstreamTarget.starts_with('/'))
        upstreamTarget.insert(0, 1, '/');
    m_proxy.add(call, exchange, std::move(upstreamTarget));
}

void caller_routes::handleCompletion(const http_exchange& exchange)
{
    if (exchange.request().method != "POST") {
        refuse(exchange, result_code::MethodNotAllowed, {});
        return;
    }
    json body = parseJson(exchange.request().body);
    const bool isValid = body.is_object() && body.contains("model") && body["model"].is_string() && body.contains("prompt") && body["prompt"].is_string();
    if (!isValid) {
        refuse(exchange, result_code::MalformedRequest, "The body is not a JSON object with the strings model and prompt.");
        return;
    }
    call_arrived call = makeCall(exchange);
    call.entry = body["model"].get<std::string>();
    call.prefixHash = hashOf(std::string_view(body["prompt"].get_ref<const std::string&>()).substr(0, prefixBytes));
    const catalogue_entry* const entry = m_catalogue.entry(call.entry);
    if (entry)
        body["model"] = entry->upstream;
    body["request_id"] = call.requestId;
    m_proxy.add(call, exchange, std::string(completionsPath), body.dump());
}

void caller_routes::handleBatches(const http_exchange& exchange, std::string_view path)
{
    const std::string& method = exchange.request().method;
    if (path == batchesPath) {
        if (method == "POST")
            m_onBatch(exchange, open_batch_request { std::string(exchange.request().body.view()) });
        else
            refuse(exchange, result_code::MethodNotAllowed, {});
        return;
    }
    const std::string_view rest = path.substr(batchesPath.size() + 1);
    const std::size_t slash = rest.find('/');
    const std::string batch(rest.substr(0, slash));
    const std::string_view action = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    if (!action.empty() && action != "fetch")
        refuse(exchange, result_code::UnknownRoute, {});
    else if (!isToken(batch))
        refuse(exchange, result_code::ValueOutOfRange, "The id of a batch has 1 to 64 letters, digits, '.', '_' and '-'.");
    else if (action == "fetch" && method == "POST")
        m_onBatch(exchange, fetch_batch_request { batch, std::string(exchange.request().body.view()) });
    else if (action.empty() && method == "GET")
        m_onBatch(exchange, batch_progress_request { batch });
    else if (action.empty() && method == "DELETE")
        m_onBatch(exchange, cancel_batch_request { batch });
    else
        refuse(exchange, result_code::MethodNotAllowed, {});
}

void caller_routes::refuse(const http_exchange& exchange, result_code code, std::string_view detail)
{
    exchange.respond(problemResponse(code, detail, {}));
}

}
