#include "adminroutes.h"

#include "problem.h"
#include "timeline.h"

#include <core/cataloguejson.h>
#include <core/cataloguereader.h>
#include <core/daemoncore.h>

#include <core/jsonreader.h>

#include <charconv>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    constexpr std::string_view cataloguePath = "/v1/catalogue";
    constexpr int recordSchema = 1;
    constexpr std::size_t maxRecordIdBytes = 128;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
        return isNumber ? std::optional<std::uint64_t>(number) : std::nullopt;
    }

    /// Edit in the body \a text; nothing when it is not a JSON object with a valid id.
    std::optional<submitted_edit> parseEdit(std::string_view text)
    {
        json body = parseJson(text);
        if (!body.is_object() || !body.contains("id") || !body["id"].is_string())
            return std::nullopt;
        submitted_edit edit;
        edit.recordId = body["id"].get<std::string>();
        if (edit.recordId.empty() || edit.recordId.size() > maxRecordIdBytes)
            return std::nullopt;
        body.erase("id");
        body["schema"] = recordSchema;
        edit.data = body.dump();
        return edit;
    }

    http_response textResponse(int status, std::string body)
    {
        return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(body) };
    }

}

admin_routes::admin_routes(const daemon_core& core, const timeline& events, std::function<std::string()> metricsText, edit_handler onEdit)
    : m_core(core)
    , m_timeline(events)
    , m_metricsText(std::move(metricsText))
    , m_onEdit(std::move(onEdit))
{
}

void admin_routes::handle(const http_exchange& exchange)
{
    const std::string_view path = targetPath(exchange.request().target);
    const bool isEdit = path == "/v1/catalogue/edits";
    if (!isEdit && exchange.request().method != "GET")
        exchange.respond(problemResponse(result_code::MethodNotAllowed, {}, {}));
    else if (path == "/healthz" || path == "/readyz")
        exchange.respond(answerProbe(path));
    else if (path == "/metrics")
        exchange.respond(textResponse(200, m_metricsText()));
    else if (path == "/status")
        exchange.respond(jsonResponse(200, m_core.status()));
    else if (path == "/timeline")
        handleTimeline(exchange);
    else if (path == cataloguePath || path.starts_with("/v1/catalogue/"))
        handleCatalogue(exchange, path.substr(cataloguePath.size()));
    else
        exchange.respond(problemResponse(result_code::UnknownRoute, {}, {}));
}

http_response admin_routes::answerProbe(std::string_view path) const
{
    const bool isUp = path == "/healthz" || m_core.isReady();
    return isUp ? textResponse(200, "ok\n") : textResponse(503, m_core.isDraining() ? "draining\n" : "starting\n");
}

void admin_routes::handleCatalogue(const http_exchange& exchange, std::string_view rest)
{
    const catalogue_table& table = m_core.catalogue().table();
    if (rest.empty() || rest == "/") {
        exchange.respond(jsonResponse(200, catalogueJson(table)));
        return;
    }
    rest.remove_prefix(1);
    if (rest == "edits") {
        handleEdit(exchange);
        return;
    }
    if (rest == "confirmations") {
        handleConfirmations(exchange);
        return;
    }
    constexpr std::string_view historySuffix = "/history";
    if (rest.ends_with(historySuffix)) {
        rest.remove_suffix(historySuffix.size());
        exchange.respond(jsonResponse(200, historyJson(table, rest)));
        return;
    }
    std::string entry = entryJson(table, rest);
    if (entry.empty())
        exchange.respond(problemResponse(result_code::UnknownEntry, "The catalogue has no entry " + std::string(rest) + ".", {}));
    else
        exchange.respond(jsonResponse(200, std::move(entry)));
}

void admin_routes::handleEdit(const http_exchange& exchange)
{
    if (exchange.request().method != "POST") {
        exchange.respond(problemResponse(result_code::MethodNotAllowed, {}, {}));
        return;
    }
    const std::optional<submitted_edit> edit = parseEdit(exchange.request().body);
    if (!edit) {
        exchange.respond(problemResponse(result_code::MalformedRequest, "The body is not a JSON object with an id of 1 to 128 bytes.", {}));
        return;
    }
    m_onEdit(exchange, *edit);
}

void admin_routes::handleConfirmations(const http_exchange& exchange)
{
    const std::optional<std::uint64_t> offset = parseNumber(queryValue(exchange.request().target, "offset").value_or(std::string()));
    if (!offset) {
        exchange.respond(problemResponse(result_code::MalformedRequest, "The parameter offset is not a whole number.", {}));
        return;
    }
    exchange.respond(jsonResponse(200, m_core.confirmations(*offset)));
}

void admin_routes::handleTimeline(const http_exchange& exchange)
{
    const std::string subject = queryValue(exchange.request().target, "subject").value_or(std::string());
    const std::string since = queryValue(exchange.request().target, "since").value_or("0");
    const std::optional<std::uint64_t> packed = parseNumber(since);
    if (!packed) {
        exchange.respond(problemResponse(result_code::MalformedRequest, "The parameter since is not a hybrid time.", {}));
        return;
    }
    exchange.respond(jsonResponse(200, m_timeline.query(subject, { *packed })));
}

}
